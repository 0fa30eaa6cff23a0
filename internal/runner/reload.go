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

// settingsPollPeriod is the interval between checks of the settings file, which may change without a signal.
const settingsPollPeriod = 2 * time.Second

// SettingsFile is the file from which the settings are read.
type SettingsFile struct {
	Path string
	// Parse decodes and validates the file. The error lists all invalid settings.
	Parse func(data []byte) (configurer.Gateway, error)
}

// reloader applies changes of the settings file while the gateway runs.
type reloader struct {
	gateway *Gateway
	file    SettingsFile
	// lastData is the content that was last read, nil before the first read.
	lastData []byte
}

// run reads the file at each SIGHUP and every settingsPollPeriod until ctx is done.
func (r *reloader) run(ctx context.Context) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	tick := r.gateway.timer.Subscribe(settingsPollPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			r.gateway.log.Info().Msg("Received SIGHUP; reading the settings file.")
			r.load(true)
		case <-tick.C:
			r.load(false)
		}
	}
}

// load reads the file and applies it if it has changed. An invalid file changes nothing. A read error is logged only after
// SIGHUP.
func (r *reloader) load(bySignal bool) {
	log := r.gateway.log
	data, err := os.ReadFile(r.file.Path)
	if err != nil {
		if bySignal {
			log.Error().Err(err).Msg("The settings file could not be read; keeping the current settings.")
		}
		return
	}
	if bytes.Equal(data, r.lastData) {
		return
	}
	first := r.lastData == nil
	r.lastData = data
	cfg, err := r.file.Parse(data)
	switch {
	case err != nil:
		log.Error().Err(err).Msg("The settings file has faults; keeping the current settings.")
	case !first || !reflect.DeepEqual(cfg, r.gateway.cfg):
		r.gateway.applySettings(cfg)
	}
}

// applySettings applies the settings that can change while the gateway runs, which are those of the retry budget, and logs
// whether other changes need a restart.
func (g *Gateway) applySettings(cfg configurer.Gateway) {
	g.budgeter.SetConfig(budgeter.Config{
		Window:         cfg.RetryWindow,
		Ratio:          cfg.RetryRatio,
		FixedAllowance: cfg.RetryExtra,
	})
	needsRestart := cfg.CallerAddress != g.cfg.CallerAddress || cfg.ProbeAddress != g.cfg.ProbeAddress || cfg.PeerAddress != g.cfg.PeerAddress || cfg.PlatformAddress != g.cfg.PlatformAddress ||
		cfg.Zone != g.cfg.Zone || cfg.Name != g.cfg.Name
	g.log.Info().Float64("RetryRatio", cfg.RetryRatio).Float64("RetryExtra", cfg.RetryExtra).Dur("RetryWindow", cfg.RetryWindow).
		Bool("NeedsRestart", needsRestart).Msg("The settings changed.")
}
