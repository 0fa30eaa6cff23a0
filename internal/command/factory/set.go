package factory

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/anvildyke/anvildyke/internal/administrator"
	"github.com/anvildyke/anvildyke/internal/classifier"
)

// SetFile is the name of the file with a complete set of configuration objects, or "-" for standard input.
type SetFile string

// RegisterFlag adds the flag -f, which sets the file name, to fs.
func (s *SetFile) RegisterFlag(fs *flag.FlagSet) {
	fs.StringVar((*string)(s), "f", "", "file with the complete set of configuration objects in YAML or JSON; - reads standard input")
}

// Check returns a usage error if the flag was not set.
func (s *SetFile) Check() error {
	if *s == "" {
		return Usagef("the flag -f is missing")
	}
	return nil
}

// SendSet sends a set to the operators' API and decodes the body of the response into response. If the server rejects the set as
// invalid, SendSet prints the faults.
func (f *Factory) SendSet(ctx context.Context, path string, file SetFile, query url.Values, response any) error {
	body, err := f.ReadFile(string(file))
	if err != nil {
		return err
	}
	if err := f.SendOperatorRequest(ctx, http.MethodPost, path, query, body, response); err != nil {
		return f.reportFaults(string(file), err)
	}
	return nil
}

// reportFaults prints the faults of a set that the server has rejected as invalid and returns an *ExitError. It returns other
// errors unchanged. The server reports the file name "body", which is replaced with the name that the operator passed.
func (f *Factory) reportFaults(file string, err error) error {
	var respErr *ResponseError
	if !errors.As(err, &respErr) || respErr.Response.Code != classifier.InvalidSet {
		return err
	}
	for i := range respErr.Response.Faults {
		if respErr.Response.Faults[i].File != "" {
			respErr.Response.Faults[i].File = file
		}
	}
	printErr := f.Print(respErr.Response, func(w io.Writer) {
		for _, fault := range respErr.Response.Faults {
			_, _ = fmt.Fprintln(w, formatFault(fault))
		}
	})
	return &ExitError{
		Code: ExitInvalidSet,
		Err:  errors.Join(err, printErr),
	}
}

// formatFault returns a table row with the position, field and message of a fault. The position is a file and line, or an object.
func formatFault(f administrator.Fault) string {
	location := f.Object
	if f.File != "" {
		location = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	if f.Field != "" {
		location += "\t" + f.Field
	} else {
		location += "\t-"
	}
	return location + "\t" + f.Message
}
