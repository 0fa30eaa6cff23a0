// Package factory provides the commands with their streams, settings and HTTP client, and holds the steps that several of
// them share.
package factory

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/anvildyke/anvildyke/internal/administrator"
	"github.com/anvildyke/anvildyke/internal/configurer"
	"github.com/anvildyke/anvildyke/internal/timer"
)

// Exit codes of the command line.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = configurer.InvalidSettingsExitCode
	// ExitInvalidSet says that a set has faults.
	ExitInvalidSet = 3
	// ExitRolledBack and ExitUnknown are outcomes of "move watch".
	ExitRolledBack     = 4
	ExitOutcomeUnknown = 5
)

const (
	// OperatorTimeout bounds a request to the operators' API. The server bounds an apply by 10 s.
	OperatorTimeout = 30 * time.Second
	// maxAnswer bounds the body of an answer.
	maxAnswer = 64 << 20
)

// ExitError is an error that ends the program with an exit code.
type ExitError struct {
	Code int
	Err  error
}

// Error returns the message of the cause.
func (e *ExitError) Error() string {
	return e.Err.Error()
}

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error {
	return e.Err
}

// Usagef returns an error for a wrong command line.
func Usagef(format string, args ...any) error {
	return &ExitError{
		Code: ExitUsage,
		Err:  fmt.Errorf(format, args...),
	}
}

// ResponseError is a refusal by the server.
type ResponseError struct {
	Response administrator.ErrorResponse
}

// Error returns the message with the code.
func (e *ResponseError) Error() string {
	return fmt.Sprintf("%s (code %d, %s)", e.Response.Message, e.Response.Code, e.Response.Name)
}

// Factory holds what commands need of their surroundings.
type Factory struct {
	In     io.Reader
	Out    io.Writer
	Err    io.Writer
	Client *http.Client
	Timer  *timer.Service

	// OperatorAddress and Caller are addresses of an entry VM's listeners.
	OperatorAddress string
	CallerAddress   string
	// JSON asks for output for scripts.
	JSON bool
}

// New returns a factory with default settings.
func New(in io.Reader, out, errs io.Writer) *Factory {
	return &Factory{
		In:              in,
		Out:             out,
		Err:             errs,
		Client:          &http.Client{},
		Timer:           timer.NewWall(),
		OperatorAddress: "127.0.0.1:7200",
		CallerAddress:   "127.0.0.1:7100",
	}
}

// FlagSet returns a flag set that holds the common settings. They may stand before or after the name of a command.
func (f *Factory) FlagSet(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(f.Err)
	fs.StringVar(&f.OperatorAddress, "operator", f.OperatorAddress, "address of an entry VM's listener for operators")
	fs.StringVar(&f.CallerAddress, "caller", f.CallerAddress, "address of an entry VM's listener for callers")
	fs.BoolVar(&f.JSON, "json", f.JSON, "write JSON for scripts")
	return fs
}

// ParseArguments returns the arguments of a command; flags may stand between and behind them. A name in brackets is optional.
func (f *Factory) ParseArguments(fs *flag.FlagSet, args []string, names ...string) ([]string, error) {
	var found []string
	for len(args) > 0 {
		if len(args[0]) > 1 && args[0][0] == '-' {
			if err := fs.Parse(args); err != nil {
				return nil, usage(err)
			}
			args = fs.Args()
			continue
		}
		found = append(found, args[0])
		args = args[1:]
	}
	least := 0
	for _, name := range names {
		if name[0] != '[' {
			least++
		}
	}
	if len(found) < least || len(found) > len(names) {
		return nil, Usagef("%s does not take %d arguments; expected: %s", fs.Name(), len(found), cmp.Or(strings.Join(names, " "), "none"))
	}
	return found, f.check()
}

func usage(err error) error {
	if errors.Is(err, flag.ErrHelp) {
		return err
	}
	return Usagef("%w", err)
}

// check reports all wrong settings at once.
func (f *Factory) check() error {
	err := errors.Join(checkAddress("operator", f.OperatorAddress), checkAddress("caller", f.CallerAddress))
	if err != nil {
		return Usagef("%w", err)
	}
	return nil
}

func checkAddress(name, text string) error {
	if _, err := netip.ParseAddrPort(text); err != nil {
		return fmt.Errorf("the setting -%s (%s_%s) is %q; accepted: an IP address and a port, for example 127.0.0.1:7000",
			name, configurer.CLIEnvPrefix, strings.ToUpper(name), text)
	}
	return nil
}

// ReadFile returns the content of a file, or of the input stream for "-".
func (f *Factory) ReadFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(f.In)
	}
	return os.ReadFile(name)
}

// SendOperatorRequest sends a request to the operators' API and decodes the answer into message. The error is a *FailureError when the server
// refuses.
func (f *Factory) SendOperatorRequest(ctx context.Context, method, path string, query url.Values, body []byte, message any) error {
	ctx, cancel := context.WithTimeout(ctx, OperatorTimeout)
	defer cancel()
	u := url.URL{
		Scheme:   "http",
		Host:     f.OperatorAddress,
		Path:     path,
		RawQuery: query.Encode(),
	}
	status, answer, err := f.Do(ctx, method, u.String(), nil, body)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		failure := &ResponseError{}
		if err := json.Unmarshal(answer, &failure.Response); err != nil {
			return fmt.Errorf("the server answers with status %d", status)
		}
		return failure
	}
	if err := json.Unmarshal(answer, message); err != nil {
		return fmt.Errorf("the answer of the server cannot be read: %w", err)
	}
	return nil
}

// Do sends an HTTP request and returns the status and the body of the answer.
func (f *Factory) Do(ctx context.Context, method, address string, header http.Header, body []byte) (int, []byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	for key, values := range header {
		r.Header[key] = values
	}
	resp, err := f.Client.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	return resp.StatusCode, answer, err
}

// Print writes a message as JSON, or as a table.
func (f *Factory) Print(message any, table func(w io.Writer)) error {
	if f.JSON {
		return json.NewEncoder(f.Out).Encode(message)
	}
	w := tabwriter.NewWriter(f.Out, 0, 8, 2, ' ', 0)
	table(w)
	return w.Flush()
}
