package bench

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// Report is the bench's report of a day.
type Report struct {
	// Worth is the day's score before the bench clamps it.
	Worth float64
	// Served is the share of requests that were served.
	Served float64
	// Broken lists the rules that were broken.
	Broken []string
	// Fault is the reason why the play is invalid, such as a process that ended. It may be empty.
	Fault string
	// Prices are the deductions from the score, largest first.
	Prices []Price
}

// BrokenText returns the broken rules, and the fault if there is one, as text.
func (r Report) BrokenText() string {
	text := "none"
	if len(r.Broken) > 0 {
		text = strings.Join(r.Broken, " ")
	}
	if r.Fault != "" {
		text += "; " + r.Fault
	}
	return text
}

// Price is a deduction from the score.
type Price struct {
	Name  string
	Worth float64
}

// ParseReport parses the bench's report of a day.
func ParseReport(data []byte) (Report, error) {
	var wire struct {
		G      float64                    `json:"G"` // the worth
		Served float64                    `json:"served"`
		Breaks map[string]json.RawMessage `json:"breaks"`
		Fault  *string                    `json:"fault"`
		Prices [][]any                    `json:"prices"` // name, amount, worth
	}
	if err := json.Unmarshal(data, &wire); err != nil {
		return Report{}, errors.Wrap(err, "parse report")
	}
	r := Report{Worth: wire.G, Served: wire.Served}
	for rule := range wire.Breaks {
		r.Broken = append(r.Broken, rule)
	}
	slices.Sort(r.Broken)
	if wire.Fault != nil {
		r.Fault = *wire.Fault
	}
	for _, row := range wire.Prices {
		p, err := parsePrice(row)
		if err != nil {
			return Report{}, err
		}
		r.Prices = append(r.Prices, p)
	}
	slices.SortStableFunc(r.Prices, func(a, b Price) int { return cmp.Compare(b.Worth, a.Worth) })
	return r, nil
}

// parsePrice parses a price, which the bench writes as an array of name, amount and worth.
func parsePrice(row []any) (Price, error) {
	const fields = 3
	if len(row) != fields {
		return Price{}, errors.Errorf("parse price: got %d fields, want %d", len(row), fields)
	}
	of, isName := row[0].(string)
	worth, isWorth := row[2].(float64)
	if !isName || !isWorth {
		return Price{}, errors.Errorf("parse price %v: want a name, an amount and a worth", row)
	}
	return Price{Name: of, Worth: worth}, nil
}
