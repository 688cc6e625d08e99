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
	// Worth is the day's mark before it is cut.
	Worth float64
	// Served is the share of requests that were served.
	Served float64
	// Broken names the rules that were broken.
	Broken []string
	// Fault says why the day does not count, as a process that ended; it may be empty.
	Fault string
	// Prices are what was taken off, the largest first.
	Prices []Price
}

// BrokenText names the rules that were broken, and the fault if there is one.
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

// Price is one thing that costs worth.
type Price struct {
	Of    string
	Worth float64
}

// ParseReport reads the bench's report of a day.
func ParseReport(data []byte) (Report, error) {
	var wire struct {
		G      float64                    `json:"G"` // the worth
		Served float64                    `json:"served"`
		Breaks map[string]json.RawMessage `json:"breaks"`
		Fault  *string                    `json:"fault"`
		Prices [][]any                    `json:"prices"` // name, amount, worth
	}
	if err := json.Unmarshal(data, &wire); err != nil {
		return Report{}, errors.Wrap(err, "read the report")
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

// parsePrice reads a price, which the bench writes as a name, an amount and a worth.
func parsePrice(row []any) (Price, error) {
	const fields = 3
	if len(row) != fields {
		return Price{}, errors.Errorf("a price has %d fields, want %d", len(row), fields)
	}
	of, isName := row[0].(string)
	worth, isWorth := row[2].(float64)
	if !isName || !isWorth {
		return Price{}, errors.Errorf("price %v: want a name, an amount and a worth", row)
	}
	return Price{Of: of, Worth: worth}, nil
}
