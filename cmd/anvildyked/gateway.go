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

// gatewayCommand is the first argument that starts the gateway on the users' platform.
const gatewayCommand = "gateway"

// runGateway serves on the users' platform with the settings file that the environment names.
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
	// The signals stay caught until the end, so that a second SIGTERM cuts no request.
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if err := g.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}
