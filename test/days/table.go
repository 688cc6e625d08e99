package main

import (
	"fmt"
	"path/filepath"
	"strings"

	"github.com/tideliftd/tidelift/test/bench"
)

// line formats a day for the table.
func line(o bench.Outcome) string {
	day := strings.TrimSuffix(filepath.Base(o.Play.Day), dayEnding)
	if o.Err != nil {
		return fmt.Sprintf("%-32s %s", day, o.FailureText())
	}
	return fmt.Sprintf("%-32s broken %-12s served %.3f worth %.3f; %s",
		day, o.Report.BrokenText(), o.Report.Served, o.Report.Worth, pricesText(o.Report))
}

// pricesText formats the largest prices.
func pricesText(r bench.Report) string {
	const shown = 2
	prices := make([]string, 0, shown)
	for _, p := range r.Prices[:min(shown, len(r.Prices))] {
		prices = append(prices, fmt.Sprintf("%s %.3f", p.Name, p.Worth))
	}
	return strings.Join(prices, ", ")
}
