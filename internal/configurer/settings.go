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

// InvalidSettingsExitCode is the exit code of a program whose settings are wrong.
const InvalidSettingsExitCode = 2

// Setting describes one setting for help and documentation.
type Setting struct {
	Flag    string
	EnvVar  string
	Default string
	// AcceptedValues says which values are accepted, with their unit.
	AcceptedValues string
	Usage          string
}

// SettingSet is the list of settings of one program.
type SettingSet struct {
	program  string
	prefix   string
	reserved []string
	values   []*value
}

// value is one setting. It accepts every text at parse time and remembers what is wrong with it, so that all faults are
// reported together.
type value struct {
	Setting
	text  string
	parse func(text string) error
}

// String returns the text as given.
func (v *value) String() string {
	return v.text
}

// Set remembers the text.
func (v *value) Set(text string) error {
	v.text = text
	return nil
}

// NewSettingSet returns an empty table. Variables are the flags in upper case behind prefix and an underscore. Variables behind a
// reserved prefix belong to another program and are ignored.
func NewSettingSet(program, prefix string, reserved ...string) *SettingSet {
	return &SettingSet{
		program:  program,
		prefix:   prefix,
		reserved: reserved,
	}
}

// Settings returns the settings in the order of their declaration.
func (t *SettingSet) Settings() []Setting {
	settings := make([]Setting, 0, len(t.values))
	for _, v := range t.values {
		settings = append(settings, v.Setting)
	}
	return settings
}

func (t *SettingSet) add(name, def, accepted, usage string, parse func(string) error) {
	t.values = append(t.values, &value{
		Setting: Setting{
			Flag:           name,
			EnvVar:         t.variable(name),
			Default:        def,
			AcceptedValues: accepted,
			Usage:          usage,
		},
		text:  def,
		parse: parse,
	})
}

func (t *SettingSet) variable(name string) string {
	return t.prefix + "_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// ObjectName declares a setting that names an object. An empty default makes it mandatory.
func (t *SettingSet) ObjectName(p *string, name, def, usage string) {
	t.add(name, def, "1 to 63 lower-case letters, digits, dots and hyphens", usage, func(text string) error {
		if !namePattern.MatchString(text) {
			return errors.New("not a name")
		}
		*p = text
		return nil
	})
}

// Text declares a setting with any text.
func (t *SettingSet) Text(p *string, name, def, accepted, usage string) {
	t.add(name, def, accepted, usage, func(text string) error {
		*p = text
		return nil
	})
}

// Enum declares a setting with one of a few values.
func (t *SettingSet) Enum(p *string, name, def, usage string, choices ...string) {
	t.add(name, def, "one of "+strings.Join(choices, ", "), usage, func(text string) error {
		if !slices.Contains(choices, text) {
			return errors.New("not one of the accepted values")
		}
		*p = text
		return nil
	})
}

// Bool declares a setting that is true or false.
func (t *SettingSet) Bool(p *bool, name string, def bool, usage string) {
	t.add(name, strconv.FormatBool(def), "true or false", usage, func(text string) error {
		b, err := strconv.ParseBool(text)
		*p = b
		return err
	})
}

// Int declares a setting with a whole number from lo to hi.
func (t *SettingSet) Int(p *int, name string, def, lo, hi int, usage string) {
	accepted := fmt.Sprintf("a whole number from %d to %d", lo, hi)
	t.add(name, strconv.Itoa(def), accepted, usage, func(text string) error {
		n, err := strconv.Atoi(text)
		if err != nil || n < lo || n > hi {
			return errors.New("not in the range")
		}
		*p = n
		return nil
	})
}

// Duration declares a setting with a duration from lo to hi.
func (t *SettingSet) Duration(p *time.Duration, name string, def, lo, hi time.Duration, usage string) {
	accepted := fmt.Sprintf("a duration from %s to %s", lo, hi)
	t.add(name, def.String(), accepted, usage, func(text string) error {
		d, err := time.ParseDuration(text)
		if err != nil || d < lo || d > hi {
			return errors.New("not in the range")
		}
		*p = d
		return nil
	})
}

// AddrPort declares a setting with an IP address and a port. An empty default makes it mandatory.
func (t *SettingSet) AddrPort(p *netip.AddrPort, name, def, usage string) {
	t.add(name, def, "an IP address and a port, for example 127.0.0.1:7000", usage, func(text string) error {
		a, err := netip.ParseAddrPort(text)
		*p = a
		return err
	})
}

// OptionalAddrPort declares a setting with an IP address and a port, or nothing.
func (t *SettingSet) OptionalAddrPort(p *netip.AddrPort, name, usage string) {
	t.add(name, "", "an IP address and a port, or nothing", usage, func(text string) error {
		if text == "" {
			return nil
		}
		a, err := netip.ParseAddrPort(text)
		*p = a
		return err
	})
}

// AddrPorts declares a setting with a list of IP addresses with ports, which may be empty.
func (t *SettingSet) AddrPorts(p *[]netip.AddrPort, name, def, usage string) {
	t.add(name, def, "IP addresses with ports, separated by commas, or nothing", usage, func(text string) error {
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

// Parse reads the settings from args and the environment. A flag goes before a variable. The error is flag.ErrHelp or lists
// every fault on a line of its own.
func (t *SettingSet) Parse(args []string) error {
	fs := flag.NewFlagSet(t.program, flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	for _, v := range t.values {
		v.text = v.Default
		fs.Var(v, v.Flag, v.Usage)
	}
	known, faults := t.splitUnknown(args)
	faults = append(faults, t.unknownVariables(os.Environ())...)
	if err := ff.Parse(fs, known, ff.WithEnvVarPrefix(t.prefix)); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return flag.ErrHelp
		}
		faults = append(faults, err)
	}
	for _, arg := range fs.Args() {
		faults = append(faults, fmt.Errorf("the argument %q is not expected", arg))
	}
	for _, v := range t.values {
		if err := v.parse(v.text); err != nil {
			faults = append(faults, fmt.Errorf("the setting -%s (%s) is %q; accepted: %s", v.Flag, v.EnvVar, v.text, v.AcceptedValues))
		}
	}
	return errors.Join(faults...)
}

// splitUnknown returns the arguments without unknown flags, and a fault for each of those.
func (t *SettingSet) splitUnknown(args []string) ([]string, []error) {
	var known []string
	var faults []error
	for _, arg := range args {
		name, isFlag := strings.CutPrefix(arg, "-")
		name, _, _ = strings.Cut(strings.TrimPrefix(name, "-"), "=")
		if isFlag && name != "" && name != "h" && name != "help" && !t.has(name) {
			faults = append(faults, fmt.Errorf("the flag -%s is unknown", name))
			continue
		}
		known = append(known, arg)
	}
	return known, faults
}

func (t *SettingSet) has(name string) bool {
	return slices.ContainsFunc(t.values, func(v *value) bool { return v.Flag == name })
}

func (t *SettingSet) unknownVariables(environ []string) []error {
	var faults []error
	for _, pair := range environ {
		name, _, _ := strings.Cut(pair, "=")
		if !strings.HasPrefix(name, t.prefix+"_") || t.isReserved(name) {
			continue
		}
		if !slices.ContainsFunc(t.values, func(v *value) bool { return v.EnvVar == name }) {
			faults = append(faults, fmt.Errorf("the variable %s is unknown", name))
		}
	}
	return faults
}

func (t *SettingSet) isReserved(name string) bool {
	return slices.ContainsFunc(t.reserved, func(prefix string) bool { return strings.HasPrefix(name, prefix) })
}

// Help returns the settings as text.
func (t *SettingSet) Help() string {
	var b strings.Builder
	fmt.Fprintf(&b, "Usage: %s [flags]\n\nEvery flag can be set by its variable; the flag goes first.\n\n", t.program)
	for _, v := range t.values {
		fmt.Fprintf(&b, "  -%s (%s)\n      %s Default %q; accepted: %s.\n", v.Flag, v.EnvVar, v.Usage, v.Default, v.AcceptedValues)
	}
	return b.String()
}

// MarkdownRow returns the setting as a row of the table in docs/SETTINGS.md.
func (s Setting) MarkdownRow() string {
	def := s.Default
	if def == "" {
		def = "none"
	}
	return fmt.Sprintf("| `-%s` | `%s` | %s | %s | %s |", s.Flag, s.EnvVar, def, s.AcceptedValues, s.Usage)
}
