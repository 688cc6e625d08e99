package cli

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/tideliftd/tidelift/internal/daemon"
	"github.com/tideliftd/tidelift/internal/declaration"
	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/logline"
	"github.com/tideliftd/tidelift/internal/membership"
	"github.com/tideliftd/tidelift/internal/settings"
	"github.com/tideliftd/tidelift/internal/store"
	"github.com/tideliftd/tidelift/internal/version"
	"github.com/tideliftd/tidelift/platform"
)

const (
	flagSettings      = "settings"
	flagCheckSettings = "check-settings"
)

const (
	// defaultMemoryLimit is the soft memory limit of the Go runtime, which leaves a
	// margin to the 256 MB that a daemon may use.
	defaultMemoryLimit = 192 << 20
	// memoryLimitPercent is the soft limit as a share of the memory that the settings name.
	memoryLimitPercent = 75
	// minMemoryLimit keeps the runtime from collecting without end where the settings name too little.
	minMemoryLimit = 64 << 20
)

// newDaemon returns the root command of tideliftd.
func newDaemon() *cli.Command {
	return &cli.Command{
		Name:  "tideliftd",
		Usage: "accept callers' requests and send requests to this host's backend servers",
		Description: "SIGTERM or SIGINT starts a planned stop, which completes the requests in flight. A later\n" +
			"SIGINT, or the stop limit in the settings, ends the daemon immediately.",
		Version:               version.Version,
		EnableShellCompletion: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagSettings, Usage: "settings file", Value: "tideliftd.yaml", Sources: cli.EnvVars("TIDELIFTD_SETTINGS")},
			&cli.BoolFlag{Name: flagCheckSettings, Usage: "validate the settings file and exit"},
		},
		Commands: []*cli.Command{newVersion()},
		Action:   runDaemon,
	}
}

// runDaemon reads the settings, and either validates them or runs a daemon with them.
func runDaemon(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() > 0 {
		return errors.Wrapf(errUsage, "unknown command %q", c.Args().First())
	}
	hangUps, cleanUp := hangUpSignals() // first, because the signal may arrive at any time, even during a planned stop
	defer cleanUp()
	file := c.String(flagSettings)
	s, data, err := readSettings(file)
	if err != nil {
		return err
	}
	if c.Bool(flagCheckSettings) {
		_, err := fmt.Fprintf(c.Root().Writer, "%s is valid: daemon %s in data centre %s\n", file, s.Name, s.DataCentre)
		return err
	}
	return startDaemon(ctx, c.Root().Writer, s, &settingsFile{name: file, content: data}, hangUps)
}

// readSettings reads the settings file and returns its content as well.
func readSettings(file string) (settings.Settings, []byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return settings.Settings{}, nil, errors.Wrap(err, "read settings")
	}
	s, err := settings.Parse(file, data)
	return s, data, err
}

// startDaemon runs a daemon with these settings until it is stopped by a signal.
func startDaemon(ctx context.Context, out io.Writer, s settings.Settings, watched *settingsFile, hangUps <-chan os.Signal) error {
	limitResources(s)
	lines, endLog := logline.New(logline.Config{Out: out, PerSecond: s.Log.PerSecond})
	logger, level := newLogger(lines, s)
	ctx, force, cleanUp := stopSignals(ctx, logger)
	defer cleanUp() // last, because a signal that is not handled ends the process
	defer endLog()
	watched.logger = logger
	kv, closeStore := platform.NewStore(platform.StoreConfig{Address: s.Platform.Address})
	defer closeStore()
	config := DaemonConfig(s, kv)
	config.Logger = logger
	config.Level = level
	config.Force = force
	config.Reloads = watched.watch(ctx, hangUps)
	return daemon.Run(ctx, config)
}

// limitResources limits the processors and the memory that the process uses.
func limitResources(s settings.Settings) {
	runtime.GOMAXPROCS(s.Processors)
	debug.SetGCPercent(s.HeapGrowth)
	debug.SetMemoryLimit(memoryLimit(s.Limits.MemoryMB))
}

// memoryLimit returns the soft memory limit of a process to which the host grants that many MB; 0 if that is not known.
func memoryLimit(granted int) int64 {
	if granted == 0 {
		return defaultMemoryLimit
	}
	const megabyte = 1_000_000
	return max(minMemoryLimit, int64(granted)*megabyte/100*memoryLimitPercent)
}

// DaemonConfig returns the configuration of a daemon with these settings on the users'
// platform: its store, the format of its declaration, registrations and readiness.
func DaemonConfig(s settings.Settings, kv store.Store) daemon.Config {
	return daemon.Config{
		Settings:          s,
		Store:             kv,
		StoredDeclaration: newStoredDeclaration(),
		Registrations:     newRegistrations,
		ReadyPattern:      platform.ReadyPattern,
	}
}

// newStoredDeclaration returns the location and format of the declaration that the platform's operator writes.
func newStoredDeclaration() declaration.Stored {
	return declaration.Stored{
		Key:              platform.DesiredKey,
		Prefix:           platform.OperatorPrefix,
		EvacuationPrefix: platform.EvacuationPrefix,
		Number:           platform.DesiredVersion,
		Redact:           platform.RedactKeys,
		Parse: func(data []byte, s settings.Source) (fleet.Declaration, error) {
			return platform.ParseDesired(data, platform.Defaults{
				FloorShare:  s.FloorShare,
				RetryShare:  s.RetryShare,
				RetrySlack:  s.RetrySlack,
				RetryWindow: s.RetryWindow,
			})
		},
	}
}

// newRegistrations returns the handler for registrations in the platform's format.
func newRegistrations(c membership.Registrations) http.Handler {
	return platform.NewCheckIns(platform.CheckInsConfig{CheckIn: c.Register, Leave: c.Leave, OnError: c.OnError})
}

// newLogger returns the daemon's logger and the variable that controls its level.
func newLogger(out io.Writer, s settings.Settings) (*slog.Logger, *slog.LevelVar) {
	level := new(slog.LevelVar)
	level.Set(s.Log.SlogLevel())
	handler := slog.NewJSONHandler(out, &slog.HandlerOptions{Level: level})
	return slog.New(handler).With("daemon", s.Name), level
}

// stopSignals returns a context that the first signal cancels and a channel that a later SIGINT
// closes. A repeated SIGTERM is only logged, because overlapping series of daemon replacements send
// it more than once.
func stopSignals(ctx context.Context, logger *slog.Logger) (context.Context, <-chan struct{}, func()) {
	ctx, cancel := context.WithCancel(ctx)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	force := make(chan struct{})
	go func() {
		<-signals
		cancel()
		for s := range signals {
			if s == syscall.SIGINT {
				close(force)
				return
			}
			event.Log(logger, event.StopRepeated, "signal", s.String())
		}
	}()
	return ctx, force, func() {
		signal.Stop(signals)
		cancel()
	}
}
