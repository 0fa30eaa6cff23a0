package administrator

import (
	"context"
	"errors"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/parser"
	"github.com/anvildyke/anvildyke/internal/publisher"
	"github.com/anvildyke/anvildyke/internal/storeclient"
	"github.com/anvildyke/anvildyke/internal/validator"
)

// bodyFileName names the request body in faults.
const bodyFileName = "body"

func (a *Administrator) handleApply(ctx *fasthttp.RequestCtx) (any, error) {
	base, err := baseGeneration(ctx)
	if err != nil {
		return nil, err
	}
	set, err := a.decodeAndValidate(ctx)
	if err != nil {
		return nil, err
	}
	if err := a.checkMoveNames(set); err != nil {
		return nil, err
	}
	// The context of the request ends with the server; a running apply is finished in a graceful shutdown.
	r, err := a.opts.Publisher.Apply(context.Background(), set, base)
	if err != nil {
		a.log.Warn().Err(err).Msg("A set was not published.")
		return nil, err
	}
	return ApplyResponse{
		Generation: r.Generation,
		Unchanged:  r.Unchanged,
		Objects:    r.ChangedObjects,
	}, nil
}

// checkMoveNames refuses a new move whose name has a recorded outcome, because that outcome would end the move at once.
func (a *Administrator) checkMoveNames(set parser.Set) error {
	installed := a.opts.Board.Config.Read().Moves
	var faults []Fault
	for _, o := range set {
		m, ok := o.(parser.Move)
		if !ok || parser.Equal(m, installed[m.Application]) {
			continue
		}
		err := a.readRecordedOutcome(&Move{
			Name: m.Name,
		})
		switch {
		case err == nil:
			faults = append(faults, Fault{
				Object:  parser.Key(m),
				Field:   "Name",
				Message: "a move with this name has ended; a new move needs a new name",
			})
		case !errors.Is(err, storeclient.ErrNotFound):
			return classifier.Errorf(classifier.NotAccepted, "the platform cannot be asked for the move %s: %w", m.Name, err)
		}
	}
	if len(faults) > 0 {
		return &invalidSetError{
			faults: faults,
		}
	}
	return nil
}

func baseGeneration(ctx *fasthttp.RequestCtx) (uint64, error) {
	text := string(ctx.QueryArgs().Peek("Base"))
	if text == "" {
		return 0, nil
	}
	base, err := strconv.ParseUint(text, 10, 64)
	if err != nil || base == 0 {
		return 0, classifier.Errorf(classifier.BadRequest, "Base is %.64q; a generation is expected, a whole number from 1", text)
	}
	return base, nil
}

func (a *Administrator) handleValidate(ctx *fasthttp.RequestCtx) (any, error) {
	set, err := a.decodeAndValidate(ctx)
	if err != nil {
		return nil, err
	}
	// The sizes are checked by the split, which apply runs before it publishes.
	if _, err := publisher.EncodeParts(set); err != nil {
		return nil, err
	}
	return ValidateResponse{
		Objects: len(set),
	}, nil
}

// decodeAndValidate decodes and checks a set. The error is an *invalidSetError that lists every fault.
func (a *Administrator) decodeAndValidate(ctx *fasthttp.RequestCtx) (parser.Set, error) {
	body, err := readBody(ctx)
	if err != nil {
		return nil, err
	}
	a.setSlots <- struct{}{}
	defer func() { <-a.setSlots }()
	set, err := parser.Decode(bodyFileName, body)
	var decodeErr *parser.DecodeError
	if errors.As(err, &decodeErr) {
		return nil, &invalidSetError{
			faults: decodeFaults(decodeErr.Faults),
		}
	}
	if err != nil {
		return nil, err
	}
	if len(set) == 0 {
		return nil, classifier.Errorf(classifier.BadRequest, "the body has no objects")
	}
	installed := a.opts.Board.Config.Read().Set
	if faults := validator.CheckUpdate(set, installed, a.opts.Timer.Now()); len(faults) > 0 {
		return nil, &invalidSetError{
			faults: validationFaults(faults),
		}
	}
	return set, nil
}

func decodeFaults(faults []parser.Fault) []Fault {
	list := make([]Fault, 0, len(faults))
	for _, f := range faults {
		list = append(list, Fault{
			File:    f.File,
			Line:    f.Line,
			Field:   f.Field,
			Message: f.Message,
		})
	}
	return list
}

func validationFaults(faults []validator.Fault) []Fault {
	list := make([]Fault, 0, len(faults))
	for _, f := range faults {
		list = append(list, Fault{
			Object:  f.Kind + "/" + f.Name,
			Field:   f.Field,
			Message: f.Message,
		})
	}
	return list
}
