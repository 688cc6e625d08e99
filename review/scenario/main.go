// Command scenario runs one case of the review against real daemons on loopback addresses.
//
// # Usage
//
//	target/scenario NAME RECORD
//
// NAME is the name of a case and RECORD the file that receives what was sent, answered and run. The exit status is 0
// if the rule held, 1 if it was broken and 2 if the case could not run. With TROUBLE=0 in the environment, the case
// runs without its disruption. It must be started at the root of the repository, after review/build.sh.
//
// The daemons are processes, started by the command of deploy/system.toml with settings from the template of
// deploy/settings.yaml. The platform's store is the project's stand-in; upstreams and clients are in this program.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// The exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// scenario is one case. Run returns what broke the rule, or nothing.
type scenario func(f *fleet, trouble bool) (broken []string, err error)

var scenarios = map[string]scenario{
	"again":     runAgain,
	"drill":     runDrill,
	"forged":    runForged,
	"leave":     runLeave,
	"outage":    runOutage,
	"pipelined": runPipelined,
	"prefix":    runPrefix,
	"stop":      runStop,
}

func main() {
	broken, err := run()
	switch {
	case err != nil:
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	case len(broken) > 0:
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}

// timeLimit bounds a run.
const timeLimit = 110 * time.Second

// endEarly ends what was started, and the program, on a signal or once the time limit has passed.
func endEarly(cleanUp func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-time.After(timeLimit):
	}
	cleanUp()
	os.Exit(exitFailed)
}

// run runs the case that the arguments name.
func run() ([]string, error) {
	const argCount = 3
	if len(os.Args) != argCount {
		return nil, errors.New("usage: scenario NAME RECORD")
	}
	runCase, ok := scenarios[os.Args[1]]
	if !ok {
		return nil, errors.Errorf("unknown case %q", os.Args[1])
	}
	f, cleanUp, err := newFleet(os.Args[2])
	if err != nil {
		return nil, err
	}
	defer cleanUp()
	go endEarly(cleanUp)
	trouble := os.Getenv("TROUBLE") != "0"
	f.record.printf("case %s, disruption %t", os.Args[1], trouble)
	broken, err := runCase(f, trouble)
	for _, line := range broken {
		f.record.printf("BROKEN: %s", line)
	}
	if err != nil {
		f.record.printf("could not run: %v", err)
		return nil, err
	}
	if len(broken) == 0 {
		f.record.printf("the rule held")
	}
	return broken, nil
}
