package runner

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/anvildyke/anvildyke/internal/budgeter"
	"github.com/anvildyke/anvildyke/internal/configurer"
)

// settingsPeriod is the time between looks at the settings file, which may change without a signal.
const settingsPeriod = 2 * time.Second

// SettingsFile is the file that the settings were read from.
type SettingsFile struct {
	Path string
	// Parse decodes the file. The error lists every fault.
	Parse func(data []byte) (configurer.Gateway, error)
}

// reloader applies changes of the settings file.
type reloader struct {
	gateway *Gateway
	file    SettingsFile
	last    []byte
}

// run looks at the file at each SIGHUP and every settingsPeriod until ctx ends.
func (r *reloader) run(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	tick := r.gateway.timer.Subscribe(settingsPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			r.gateway.log.Info().Msg("SIGHUP: the settings are read again.")
			r.load(true)
		case <-tick.C:
			r.load(false)
		}
	}
}

// load reads the file and applies it if it has changed. A file with faults changes nothing.
func (r *reloader) load(asked bool) {
	log := r.gateway.log
	data, err := os.ReadFile(r.file.Path)
	if err != nil {
		if asked {
			log.Error().Err(err).Msg("The settings file cannot be read; the settings stay as they are.")
		}
		return
	}
	if bytes.Equal(data, r.last) {
		return
	}
	first := r.last == nil
	r.last = data
	cfg, err := r.file.Parse(data)
	switch {
	case err != nil:
		log.Error().Err(err).Msg("The settings file has faults; the settings stay as they are.")
	case !first || !reflect.DeepEqual(cfg, r.gateway.cfg):
		r.gateway.apply(cfg)
	}
}

// apply takes the settings that can change while the gateway runs.
func (g *Gateway) apply(cfg configurer.Gateway) {
	g.spender.SetConfig(budgeter.Config{
		Window:         cfg.RetryWindow,
		Ratio:          cfg.RetryRatio,
		FixedAllowance: cfg.RetryExtra,
	})
	restart := cfg.CallerAddress != g.cfg.CallerAddress || cfg.ProbeAddress != g.cfg.ProbeAddress || cfg.PeerAddress != g.cfg.PeerAddress || cfg.PlatformAddress != g.cfg.PlatformAddress ||
		cfg.Zone != g.cfg.Zone || cfg.Name != g.cfg.Name
	g.log.Info().Float64("RetryRatio", cfg.RetryRatio).Float64("RetryExtra", cfg.RetryExtra).Dur("RetryWindow", cfg.RetryWindow).
		Bool("NeedsRestart", restart).Msg("The settings have changed.")
}
