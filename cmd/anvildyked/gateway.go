package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/anvildyke/anvildyke/internal/configurer"
	"github.com/anvildyke/anvildyke/internal/runner"
	"github.com/anvildyke/anvildyke/platform"
)

// gatewayCommand is the first command-line argument that starts the gateway for the users' platform instead of the daemon.
const gatewayCommand = "gateway"

// runGateway runs the gateway on the users' platform and returns the exit code. The environment variable
// platform.SettingsPathEnv contains the path of the settings file.
func runGateway() int {
	path := os.Getenv(platform.SettingsPathEnv)
	cfg, err := platform.ReadSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return configurer.InvalidSettingsExitCode
	}
	store := platform.NewStore(cfg.PlatformAddress)
	g, err := runner.NewGateway(cfg, runner.PlatformAdapter{
		Source: store,
		Kinds: runner.ObjectKinds{
			Config:     platform.KindConfig,
			Server:     platform.KindServer,
			Evacuation: platform.KindEvacuation,
			Move:       platform.KindRollout,
			VM:         platform.KindVM,
		},
		DecodeConfig: platform.DecodeConfig,
		DecodeMove:   platform.DecodeRollout,
		DecodeServer: platform.DecodeServer(cfg.Regions),
		Directory: platform.VMDirectory{
			Store: store,
		},
		CrashArchive: platform.CrashArchive{
			Store: store,
		},
		Outcomes: platform.RolloutStatusWriter{
			Store: store,
		},
		Codec: platform.HTTPCodec{},
		Settings: runner.SettingsFile{
			Path:  path,
			Parse: platform.ParseSettings,
		},
	}, os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	// The signal handler stays registered until the process exits, so that a second SIGTERM does not abort running requests.
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if err := g.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}
