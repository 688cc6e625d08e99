package harness

import (
	"bufio"
	"encoding/json"
	"os"
	"time"

	"github.com/go-faster/errors"
)

// LogEvent is an event in a daemon's log.
type LogEvent struct {
	Time          time.Time `json:"time"`
	Event         int       `json:"event"`
	Daemon        string    `json:"daemon"`
	BackendServer string    `json:"backend_server"`
	Service       string    `json:"service"`
	Observer      string    `json:"witness"`
	Revision      int64     `json:"revision"`
}

// Events returns the events that the daemons have logged, grouped by daemon.
func (f *Fleet) Events() ([]LogEvent, error) {
	var all []LogEvent
	for _, d := range f.Daemons {
		events, err := readEvents(f.logName(d.Name))
		if err != nil {
			return nil, err
		}
		all = append(all, events...)
	}
	return all, nil
}

func readEvents(file string) ([]LogEvent, error) {
	log, err := os.Open(file)
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	defer func() { _ = log.Close() }()
	var events []LogEvent
	lines := bufio.NewScanner(log)
	for lines.Scan() {
		var logged LogEvent
		if json.Unmarshal(lines.Bytes(), &logged) == nil && logged.Event != 0 {
			events = append(events, logged)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, errors.Wrap(err, "read log")
	}
	return events, nil
}
