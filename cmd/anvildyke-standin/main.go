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

// stopTimeout bounds the wait for running requests after SIGTERM.
const stopTimeout = 20 * time.Second

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

// command returns a subcommand whose settings are those of the table. The table checks the values.
func command(name, help string, t *configurer.SettingSet, run func(ctx context.Context) error) *ffcli.Command {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	for _, s := range t.Settings() {
		fs.String(s.Flag, s.Default, s.Usage+" Accepted: "+s.AcceptedValues+". Variable: "+s.EnvVar+".")
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
			if err := t.Parse(args); err != nil {
				return err
			}
			return run(ctx)
		},
	}
}

func platformCommand() *ffcli.Command {
	var cfg platform.Config
	t := configurer.NewSettingSet("platform", "ANVILDYKE_STANDIN_PLATFORM")
	t.AddrPort(&cfg.Address, "address", "127.0.0.1:0", "Listens for all calls.")
	t.Duration(&cfg.VMLag, "vm-lag", time.Second, 0, time.Hour, "Age at which changes of the list of VMs show.")
	return command("platform", "Runs a platform.", t, func(ctx context.Context) error {
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
	sw := &cfg.Switches
	t := configurer.NewSettingSet("backend", "ANVILDYKE_STANDIN_BACKEND")
	t.AddrPort(&cfg.Address, "address", "127.0.0.1:0", "Listens for requests.")
	t.AddrPort(&cfg.ControlAddress, "control-address", "127.0.0.1:0", "Listens for control calls.")
	t.Text(&cfg.HeldShards, "held", "1:0:1", "snapshot:shard:of, several separated by commas", "Snapshots held.")
	t.Int(&cfg.Slots, "slots", 3, 1, 10000, "Requests that run at the same time.")
	t.Int(&cfg.QueueLength, "queue", 3, 0, 10000, "Requests that wait for a slot.")
	t.Duration(&cfg.QueueTimeout, "queue-time", 20*time.Millisecond, 0, time.Minute, "Longest wait for a slot.")
	t.Int(&cfg.MaxConnections, "connections", 30, 1, 10000, "Open connections.")
	t.Duration(&cfg.ConnectDelay, "connect-time", 6*time.Millisecond, 0, time.Minute, "Time before a new connection answers.")
	t.Int(&seed, "seed", 1, 0, 1<<31-1, "Seed of the random source.")
	t.Text(&cfg.CrashMarker, "crash-marker", "CRASH", "any text; nothing never crashes", "Text in a body that ends the process.")
	t.Text(&cfg.OperationLog, "journal", "", "the name of a file; nothing for none", "File that gets the ID of each operation that runs.")
	t.Duration(&sw.ServiceTime, "service-time", 2*time.Millisecond, 0, time.Minute, "Time that a request runs.")
	t.Text(&share, "straggle-share", "0", "a number from 0 to 1", "Part of the requests that straggle.")
	t.Duration(&sw.StraggleTime, "straggle-time", 50*time.Millisecond, 0, time.Minute, "Longest additional time of a straggler.")
	t.Bool(&sw.Cold, "cold", true, "Starts cold.")
	t.Int(&sw.ColdWork, "cold-work", 1, 1, 1000000, "Answers that raise the concurrency of a cold server by one.")
	t.Duration(&sw.ColdTime, "cold-time", 0, 0, time.Hour, "Time that raises it by one; 0 for never.")
	t.Duration(&sw.ColdSlow, "cold-slow", 0, 0, time.Minute, "Delay of requests beyond it; 0 sheds them.")
	t.Duration(&sw.DrainGrace, "drain-grace", 2*time.Second, 0, time.Hour, "Time between the drain signal and refusals.")
	t.Duration(&sw.ReportLag, "report-lag", 0, 0, time.Hour, "Age of the reported state.")
	sw.Searched = corpus.PartsPerShard
	return command("backend", "Runs a backend server.", t, func(ctx context.Context) error {
		f, err := strconv.ParseFloat(share, 64)
		if err != nil || f < 0 || f > 1 {
			return fmt.Errorf("the setting -straggle-share is %q; accepted: a number from 0 to 1", share)
		}
		sw.StraggleShare, cfg.Seed = f, uint64(seed)
		s, err := backend.Start(cfg)
		if err != nil {
			return err
		}
		fmt.Printf("Address=%s ControlAddress=%s\n", s.Addr(), s.ControlAddr())
		<-ctx.Done()
		stop, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		return s.Shutdown(stop)
	})
}
