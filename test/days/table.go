package main

import (
	"fmt"
	"strings"
)

// outcome is what became of a day.
type outcome struct {
	day    string
	report report
	err    error // why it could not be played; nil if it was
}

// good says whether the day was played, no rule was broken and nothing speaks against
// counting it.
func (o outcome) good() bool {
	return o.err == nil && len(o.report.Broken) == 0 && o.report.Fault == ""
}

// line is the day's line of the table.
func (o outcome) line() string {
	if o.err != nil {
		return fmt.Sprintf("%-32s not played: %v", o.day, o.err)
	}
	return fmt.Sprintf("%-32s broken %-12s served %.3f worth %.3f; %s",
		o.day, o.report.brokenText(), o.report.Served, o.report.Worth, o.report.pricesText())
}

// brokenText names the rules that were broken, and the fault if there is one.
func (r report) brokenText() string {
	text := "none"
	if len(r.Broken) > 0 {
		text = strings.Join(r.Broken, " ")
	}
	if r.Fault != "" {
		text += "; " + r.Fault
	}
	return text
}

// pricesText names the largest prices.
func (r report) pricesText() string {
	const shown = 2
	prices := make([]string, 0, shown)
	for _, p := range r.Prices[:min(shown, len(r.Prices))] {
		prices = append(prices, fmt.Sprintf("%s %.3f", p.Of, p.Worth))
	}
	return strings.Join(prices, ", ")
}
