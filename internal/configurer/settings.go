// Package configurer reads settings from flags and environment variables and reports all invalid ones at once.
package configurer

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
)

// InvalidSettingsExitCode is the exit code of a program with invalid settings.
const InvalidSettingsExitCode = 2

// Setting describes one setting for the help text and the documentation.
type Setting struct {
	Flag    string
	EnvVar  string
	Default string
	// AcceptedValues describes the accepted values and their unit.
	AcceptedValues string
	Usage          string
}

// SettingSet contains the settings of one program in the order of their declaration.
type SettingSet struct {
	program          string
	envPrefix        string
	reservedPrefixes []string
	values           []*flagValue
}

// flagValue is the flag.Value of one setting. Set accepts every text, so that Parse can validate all settings and report all
// invalid ones together.
type flagValue struct {
	Setting
	text  string
	parse func(text string) error
}

// String returns the unparsed text.
func (v *flagValue) String() string {
	return v.text
}

// Set stores the text without validating it.
func (v *flagValue) Set(text string) error {
	v.text = text
	return nil
}

// NewSettingSet returns an empty set. The environment variable of a setting is envPrefix, an underscore and the name of the flag
// in upper case. Variables with one of reservedPrefixes belong to another program and are ignored.
func NewSettingSet(program, envPrefix string, reservedPrefixes ...string) *SettingSet {
	return &SettingSet{
		program:          program,
		envPrefix:        envPrefix,
		reservedPrefixes: reservedPrefixes,
	}
}

// Settings returns the settings in the order of their declaration.
func (s *SettingSet) Settings() []Setting {
	settings := make([]Setting, 0, len(s.values))
	for _, v := range s.values {
		settings = append(settings, v.Setting)
	}
	return settings
}

func (s *SettingSet) add(name, def, accepted, usage string, parse func(string) error) {
	s.values = append(s.values, &flagValue{
		Setting: Setting{
			Flag:           name,
			EnvVar:         s.envVar(name),
			Default:        def,
			AcceptedValues: accepted,
			Usage:          usage,
		},
		text:  def,
		parse: parse,
	})
}

func (s *SettingSet) envVar(name string) string {
	return s.envPrefix + "_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

var objectNamePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// ObjectName declares a setting that contains the name of an object. It is mandatory if the default is empty.
func (s *SettingSet) ObjectName(p *string, name, def, usage string) {
	s.add(name, def, "1 to 63 lower-case letters, digits, dots and hyphens", usage, func(text string) error {
		if !objectNamePattern.MatchString(text) {
			return errors.New("not a valid object name")
		}
		*p = text
		return nil
	})
}

// Text declares a setting that accepts any text.
func (s *SettingSet) Text(p *string, name, def, accepted, usage string) {
	s.add(name, def, accepted, usage, func(text string) error {
		*p = text
		return nil
	})
}

// Enum declares a setting that accepts one of choices.
func (s *SettingSet) Enum(p *string, name, def, usage string, choices ...string) {
	s.add(name, def, "one of "+strings.Join(choices, ", "), usage, func(text string) error {
		if !slices.Contains(choices, text) {
			return errors.New("not one of the accepted values")
		}
		*p = text
		return nil
	})
}

// Bool declares a Boolean setting.
func (s *SettingSet) Bool(p *bool, name string, def bool, usage string) {
	s.add(name, strconv.FormatBool(def), "true or false", usage, func(text string) error {
		b, err := strconv.ParseBool(text)
		*p = b
		return err
	})
}

// Int declares a setting with an integer from lo to hi.
func (s *SettingSet) Int(p *int, name string, def, lo, hi int, usage string) {
	accepted := fmt.Sprintf("a whole number from %d to %d", lo, hi)
	s.add(name, strconv.Itoa(def), accepted, usage, func(text string) error {
		n, err := strconv.Atoi(text)
		if err != nil || n < lo || n > hi {
			return errors.New("not in the range")
		}
		*p = n
		return nil
	})
}

// Duration declares a setting in the format of time.ParseDuration, from lo to hi inclusive.
func (s *SettingSet) Duration(p *time.Duration, name string, def, lo, hi time.Duration, usage string) {
	accepted := fmt.Sprintf("a duration from %s to %s", lo, hi)
	s.add(name, def.String(), accepted, usage, func(text string) error {
		d, err := time.ParseDuration(text)
		if err != nil || d < lo || d > hi {
			return errors.New("not in the range")
		}
		*p = d
		return nil
	})
}

// AddrPort declares a setting with an IP address and a port. It is mandatory if the default is empty.
func (s *SettingSet) AddrPort(p *netip.AddrPort, name, def, usage string) {
	s.add(name, def, "an IP address and a port, for example 127.0.0.1:7000", usage, func(text string) error {
		a, err := netip.ParseAddrPort(text)
		*p = a
		return err
	})
}

// OptionalAddrPort declares a setting with an IP address and a port. It may be empty.
func (s *SettingSet) OptionalAddrPort(p *netip.AddrPort, name, usage string) {
	s.add(name, "", "an IP address and a port, or nothing", usage, func(text string) error {
		if text == "" {
			return nil
		}
		a, err := netip.ParseAddrPort(text)
		*p = a
		return err
	})
}

// AddrPorts declares a setting with a comma-separated list of IP addresses with ports. It may be empty.
func (s *SettingSet) AddrPorts(p *[]netip.AddrPort, name, def, usage string) {
	s.add(name, def, "IP addresses with ports, separated by commas, or nothing", usage, func(text string) error {
		*p = nil
		for _, field := range strings.FieldsFunc(text, func(r rune) bool { return r == ',' }) {
			a, err := netip.ParseAddrPort(strings.TrimSpace(field))
			if err != nil {
				return err
			}
			*p = append(*p, a)
		}
		return nil
	})
}

// Parse reads the settings from args and from environment variables. Flags take precedence over variables. The error is
// flag.ErrHelp or lists each invalid argument, variable and setting on a line of its own.
func (s *SettingSet) Parse(args []string) error {
	fs := flag.NewFlagSet(s.program, flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	for _, v := range s.values {
		v.text = v.Default
		fs.Var(v, v.Flag, v.Usage)
	}
	known, faults := s.separateUnknownFlags(args)
	faults = append(faults, s.unknownEnvVars(os.Environ())...)
	if err := ff.Parse(fs, known, ff.WithEnvVarPrefix(s.envPrefix)); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return flag.ErrHelp
		}
		faults = append(faults, err)
	}
	for _, arg := range fs.Args() {
		faults = append(faults, fmt.Errorf("the argument %q is not expected", arg))
	}
	for _, v := range s.values {
		if err := v.parse(v.text); err != nil {
			faults = append(faults, fmt.Errorf("the setting -%s (%s) is %q; accepted: %s", v.Flag, v.EnvVar, v.text, v.AcceptedValues))
		}
	}
	return errors.Join(faults...)
}

// separateUnknownFlags returns the arguments without unknown flags, and an error for each unknown flag.
func (s *SettingSet) separateUnknownFlags(args []string) ([]string, []error) {
	var known []string
	var faults []error
	for _, arg := range args {
		name, isFlag := strings.CutPrefix(arg, "-")
		name, _, _ = strings.Cut(strings.TrimPrefix(name, "-"), "=")
		if isFlag && name != "" && name != "h" && name != "help" && !s.hasFlag(name) {
			faults = append(faults, fmt.Errorf("the flag -%s is unknown", name))
			continue
		}
		known = append(known, arg)
	}
	return known, faults
}

func (s *SettingSet) hasFlag(name string) bool {
	return slices.ContainsFunc(s.values, func(v *flagValue) bool { return v.Flag == name })
}

func (s *SettingSet) unknownEnvVars(environ []string) []error {
	var faults []error
	for _, pair := range environ {
		name, _, _ := strings.Cut(pair, "=")
		if !strings.HasPrefix(name, s.envPrefix+"_") || s.isReserved(name) {
			continue
		}
		if !slices.ContainsFunc(s.values, func(v *flagValue) bool { return v.EnvVar == name }) {
			faults = append(faults, fmt.Errorf("the environment variable %s is unknown", name))
		}
	}
	return faults
}

func (s *SettingSet) isReserved(name string) bool {
	return slices.ContainsFunc(s.reservedPrefixes, func(prefix string) bool { return strings.HasPrefix(name, prefix) })
}

// Help returns the help text, which describes all settings.
func (s *SettingSet) Help() string {
	var b strings.Builder
	fmt.Fprintf(&b, "Usage: %s [flags]\n\nEvery flag can also be set by its environment variable; the flag takes precedence.\n\n", s.program)
	for _, v := range s.values {
		fmt.Fprintf(&b, "  -%s (%s)\n      %s Default %q; accepted: %s.\n", v.Flag, v.EnvVar, v.Usage, v.Default, v.AcceptedValues)
	}
	return b.String()
}

// MarkdownRow returns the setting as a row of the Markdown table in docs/SETTINGS.md.
func (s Setting) MarkdownRow() string {
	def := s.Default
	if def == "" {
		def = "none"
	}
	return fmt.Sprintf("| `-%s` | `%s` | %s | %s | %s |", s.Flag, s.EnvVar, def, s.AcceptedValues, s.Usage)
}
