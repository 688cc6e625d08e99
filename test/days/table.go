package main

import (
	"fmt"
	"path/filepath"
	"strings"

	"github.com/tideliftd/tidelift/test/bench"
)

// formatLine formats a day for the table.
func formatLine(o bench.Outcome) string {
	day := strings.TrimSuffix(filepath.Base(o.Play.Day), dayExt)
	if o.Err != nil {
		return fmt.Sprintf("%-32s %s", day, o.FailureText())
	}
	return fmt.Sprintf("%-32s broken %-12s served %.3f worth %.3f; %s",
		day, o.Report.BrokenText(), o.Report.Served, o.Report.Worth, formatPrices(o.Report))
}

// formatPrices formats the largest prices.
func formatPrices(r bench.Report) string {
	const shown = 2
	prices := make([]string, 0, shown)
	for _, p := range r.Prices[:min(shown, len(r.Prices))] {
		prices = append(prices, fmt.Sprintf("%s %.3f", p.Name, p.Worth))
	}
	return strings.Join(prices, ", ")
}
