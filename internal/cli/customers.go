package cli

import (
	"context"
	"fmt"
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/tideliftd/tidelift/internal/operatorapi"
)

// newCustomers returns the command that shows customers and their limits.
func newCustomers() *cli.Command {
	return &cli.Command{
		Name:   "customers",
		Usage:  "list the customers, their limits and the share of their requests that is admitted",
		Action: runCustomers,
	}
}

func runCustomers(ctx context.Context, c *cli.Command) error {
	client, err := newClient(c)
	if err != nil {
		return err
	}
	customers, err := client.ListCustomers(ctx)
	if err != nil {
		return err
	}
	rows := make([][]string, 0, len(customers))
	for _, customer := range customers {
		rows = append(rows, customerRow(customer))
	}
	return show(c, customers, []string{"CUSTOMER", "KEYS", "PRIORITY", "RATE", "BURST", "ADMITTED", "BUCKET", "REFUSED HERE"}, rows)
}

// customerRow returns the table row of a customer.
func customerRow(c operatorapi.Customer) []string {
	priority, level := "-", "-"
	if rank, ok := c.Priority.Get(); ok {
		priority = strconv.Itoa(rank)
	}
	if held, ok := c.Level.Get(); ok {
		level = fmt.Sprintf("%.1f", held)
	}
	rate := "no limit"
	if c.Rate > 0 {
		rate = fmt.Sprintf("%g/s", c.Rate)
	}
	return []string{
		c.Name, strconv.Itoa(c.Keys), priority, rate, fmt.Sprintf("%g", c.Burst),
		fmt.Sprintf("%.0f%%", 100*c.Share), level, strconv.FormatInt(c.Refused, 10),
	}
}
