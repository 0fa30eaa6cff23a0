// Command anvildyke-standin runs a stand-in for the platform or for a backend server, for tests and demonstrations.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/anvildyke/anvildyke/internal/configurer"
	"github.com/anvildyke/anvildyke/internal/standin/backend"
	"github.com/anvildyke/anvildyke/internal/standin/corpus"
	"github.com/anvildyke/anvildyke/internal/standin/platform"
)

// shutdownTimeout limits the wait for running requests after SIGTERM.
const shutdownTimeout = 20 * time.Second

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	root := &ffcli.Command{
		Name:       "anvildyke-standin",
		ShortUsage: "anvildyke-standin platform|backend [flags]",
		Exec: func(context.Context, []string) error {
			return flag.ErrHelp
		},
		Subcommands: []*ffcli.Command{platformCommand(), backendCommand()},
	}
	if err := root.ParseAndRun(ctx, os.Args[1:]); err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(configurer.InvalidSettingsExitCode)
	}
}

// newCommand returns a subcommand with a flag for each setting. The flags accept any text; settings.Parse validates the values
// before run is called.
func newCommand(name, help string, settings *configurer.SettingSet, run func(ctx context.Context) error) *ffcli.Command {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	for _, s := range settings.Settings() {
		fs.String(s.Flag, s.Default, s.Usage+" Accepted: "+s.AcceptedValues+". Environment variable: "+s.EnvVar+".")
	}
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "anvildyke-standin " + name + " [flags]",
		ShortHelp:  help,
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			fs.Visit(func(f *flag.Flag) {
				args = append([]string{"-" + f.Name + "=" + f.Value.String()}, args...)
			})
			if err := settings.Parse(args); err != nil {
				return err
			}
			return run(ctx)
		},
	}
}

func platformCommand() *ffcli.Command {
	var cfg platform.Config
	settings := configurer.NewSettingSet("platform", "ANVILDYKE_STANDIN_PLATFORM")
	settings.AddrPort(&cfg.Address, "address", "127.0.0.1:0", "Listens for API and control requests (HTTP).")
	settings.Duration(&cfg.VMLag, "vm-lag", time.Second, 0, time.Hour, "Delay until changes of the list of VMs become visible.")
	return newCommand("platform", "Run a stand-in for the platform.", settings, func(ctx context.Context) error {
		s, err := platform.Start(cfg)
		if err != nil {
			return err
		}
		fmt.Printf("Address=%s\n", s.Addr())
		<-ctx.Done()
		return s.Close()
	})
}

func backendCommand() *ffcli.Command {
	var cfg backend.Config
	var seed int
	var share string
	switches := &cfg.Switches
	settings := configurer.NewSettingSet("backend", "ANVILDYKE_STANDIN_BACKEND")
	settings.AddrPort(&cfg.Address, "address", "127.0.0.1:0", "Listens for requests (HTTP).")
	settings.AddrPort(&cfg.ControlAddress, "control-address", "127.0.0.1:0", "Listens for control requests (HTTP).")
	settings.Text(&cfg.HeldShards, "held", "1:0:1", "comma-separated snapshot:shard:of", "Shards of snapshots that the server can search.")
	settings.Int(&cfg.Slots, "slots", 3, 1, 10000, "Maximum number of concurrent requests.")
	settings.Int(&cfg.QueueLength, "queue", 3, 0, 10000, "Maximum number of requests that wait for a slot.")
	settings.Duration(&cfg.QueueTimeout, "queue-time", 20*time.Millisecond, 0, time.Minute, "Maximum time that a request waits for a slot.")
	settings.Int(&cfg.MaxConnections, "connections", 30, 1, 10000, "Maximum number of open connections.")
	settings.Duration(&cfg.ConnectDelay, "connect-time", 6*time.Millisecond, 0, time.Minute, "Delay before the first request on a new connection is read.")
	settings.Int(&seed, "seed", 1, 0, 1<<31-1, "Seed of the random number generator.")
	settings.Text(&cfg.CrashMarker, "crash-marker", "CRASH", "any text; empty disables crashes", "Text in a request body that makes the process crash.")
	settings.Text(&cfg.OperationLog, "journal", "", "the name of a file; empty for none", "File to which the ID of each executed operation is appended.")
	settings.Duration(&switches.ServiceTime, "service-time", 2*time.Millisecond, 0, time.Minute, "Processing time of a request.")
	settings.Text(&share, "straggle-share", "0", "a number from 0 to 1", "Share of the requests that are stragglers.")
	settings.Duration(&switches.StraggleTime, "straggle-time", 50*time.Millisecond, 0, time.Minute, "Maximum additional processing time of a straggler.")
	settings.Bool(&switches.Cold, "cold", true, "Starts cold, that is, with a concurrency limit of one request.")
	settings.Int(&switches.ColdWork, "cold-work", 1, 1, 1000000, "Number of responses after which the concurrency limit of a cold server rises by one.")
	settings.Duration(&switches.ColdTime, "cold-time", 0, 0, time.Hour, "Time after which the concurrency limit of a cold server rises by one; 0 disables this.")
	settings.Duration(&switches.ColdSlow, "cold-slow", 0, 0, time.Minute, "Delay of requests above the concurrency limit of a cold server; 0 sheds them.")
	settings.Duration(&switches.DrainGrace, "drain-grace", 2*time.Second, 0, time.Hour, "Time between the drain signal and the first refused request.")
	settings.Duration(&switches.ReportLag, "report-lag", 0, 0, time.Hour, "Maximum age of the load state in responses.")
	switches.Searched = corpus.PartsPerShard
	return newCommand("backend", "Run a stand-in for a backend server.", settings, func(ctx context.Context) error {
		straggleShare, err := strconv.ParseFloat(share, 64)
		if err != nil || straggleShare < 0 || straggleShare > 1 {
			return fmt.Errorf("the setting -straggle-share is %q; accepted: a number from 0 to 1", share)
		}
		switches.StraggleShare, cfg.Seed = straggleShare, uint64(seed)
		s, err := backend.Start(cfg)
		if err != nil {
			return err
		}
		fmt.Printf("Address=%s ControlAddress=%s\n", s.Addr(), s.ControlAddr())
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		return s.Shutdown(shutdownCtx)
	})
}
