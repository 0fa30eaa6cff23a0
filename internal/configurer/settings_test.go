// These tests guard against invalid settings that are reported one at a time, settings that are silently ignored, and settings
// that are missing from the documentation.
package configurer

import (
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

var requiredFlags = []string{"-name=vm-1", "-availability-zone=litoral-a", "-platform=127.0.0.1:7000"}

func TestAllInvalidSettingsAreReportedTogether(t *testing.T) {
	t.Setenv("ANVILDYKE_LOG_LEVEL", "loud")
	t.Setenv("ANVILDYKE_LOGLEVEL", "info")
	t.Setenv("ANVILDYKE_CLI_OPERATOR", "127.0.0.1:1")
	var cfg Daemon
	err := cfg.SettingSet().Parse([]string{"-name=vm 1", "-max-queries=0", "-verbose", "-platform=127.0.0.1:7000", "extra"})
	text := err.Error()
	for _, want := range []string{
		"the flag -verbose is unknown",
		"the environment variable ANVILDYKE_LOGLEVEL is unknown",
		`the argument "extra" is not expected`,
		`the setting -name (ANVILDYKE_NAME) is "vm 1"`,
		`the setting -availability-zone (ANVILDYKE_AVAILABILITY_ZONE) is ""`,
		`the setting -max-queries (ANVILDYKE_MAX_QUERIES) is "0"; accepted: a whole number from 1 to 100000`,
		`the setting -log-level (ANVILDYKE_LOG_LEVEL) is "loud"`,
	} {
		assert.Assert(t, cmp.Contains(text, want))
	}
	assert.Equal(t, len(strings.Split(text, "\n")), 7)
}

func TestFlagOverridesEnvironmentVariable(t *testing.T) {
	t.Setenv("ANVILDYKE_DRAIN_TIMEOUT", "7s")
	t.Setenv("ANVILDYKE_BALANCER_DELAY", "1s")
	var cfg Daemon
	assert.NilError(t, cfg.SettingSet().Parse(append([]string{"-drain-timeout=5s"}, requiredFlags...)))
	assert.Equal(t, cfg.DrainTimeout, 5*time.Second)
	assert.Equal(t, cfg.BalancerDelay, time.Second)
}

func TestHelpIsNotReportedAsInvalidSetting(t *testing.T) {
	var cfg Daemon
	assert.ErrorIs(t, cfg.SettingSet().Parse([]string{"-h"}), flag.ErrHelp)
}

func TestDocumentationListsEverySetting(t *testing.T) {
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	assert.NilError(t, err)
	var cfg Daemon
	for _, s := range cfg.SettingSet().Settings() {
		assert.Assert(t, cmp.Contains(string(page), s.MarkdownRow()))
	}
}
