package claimer

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/storeclient"
	"github.com/google/uuid"
)

// State is the state of a claim.
type State string

// States of a claim. Open means that the operation may be running or that its outcome was not recorded.
const (
	StateOpen    State = "Open"
	StateDone    State = "Done"
	StateNotRun  State = "NotRun"
	StateUnknown State = "Unknown"
)

// Claim is the value of a claim object at the platform.
type Claim struct {
	// Token identifies the attempt that may send the operation.
	Token       string
	Fingerprint string
	State       State
	Code        classifier.Code
	// Body is the answer of the backend server. It is left out when it exceeds MaxRecordedBody.
	Body []byte `json:",omitempty"`
}

// held is a claim that this process has won.
type held struct {
	object storeclient.Object
	claim  Claim
}

// claim obtains the right to send the operation. Without it, it returns the outcome for the caller.
func (c *Claimer) claim(ctx context.Context, id, fingerprint string) (*held, *Outcome) {
	h := &held{
		object: storeclient.Object{
			Kind: ObjectKind,
			Name: id,
		},
		claim: Claim{
			Token:       uuid.NewString(),
			Fingerprint: fingerprint,
			State:       StateOpen,
		},
	}
	stored, err := c.opts.Store.Create(ctx, h.encode())
	if err == nil {
		h.object.Version = stored.Version
		return h, nil
	}
	exists := errors.Is(err, storeclient.ErrExists)
	current, other, err := c.read(ctx, h)
	switch {
	case err == nil && current.Token == h.claim.Token:
		h.object.Version = other.Version
		return h, nil
	case err == nil:
		return c.reclaim(ctx, h, current, other)
	case exists:
		// Another attempt holds the claim, and its outcome cannot be read now.
		return nil, unknown()
	default:
		return nil, unavailable()
	}
}

// reclaim decides what an existing claim means. Only a recorded "not run" may be claimed again.
func (c *Claimer) reclaim(ctx context.Context, h *held, current Claim, object storeclient.Object) (*held, *Outcome) {
	if current.Fingerprint != h.claim.Fingerprint {
		return nil, &Outcome{
			Code:    classifier.BadOperationID,
			Message: "The operation ID has been used for another request.",
		}
	}
	if current.State != StateNotRun {
		return nil, recorded(current)
	}
	h.object.Version = object.Version
	stored, err := c.opts.Store.Update(ctx, h.encode())
	if err == nil {
		h.object.Version = stored.Version
		return h, nil
	}
	if errors.Is(err, storeclient.ErrConflict) || errors.Is(err, storeclient.ErrNotFound) {
		return nil, unknown()
	}
	current, object, err = c.read(ctx, h)
	switch {
	case err == nil && current.Token == h.claim.Token:
		h.object.Version = object.Version
		return h, nil
	case err == nil && current.State != StateNotRun:
		return nil, recorded(current)
	default:
		return nil, unavailable()
	}
}

func (c *Claimer) read(ctx context.Context, h *held) (Claim, storeclient.Object, error) {
	o, err := c.opts.Store.Get(ctx, ObjectKind, h.object.Name)
	if err != nil {
		return Claim{}, o, err
	}
	var current Claim
	err = json.Unmarshal(o.Value, &current)
	return current, o, err
}

func (h *held) encode() storeclient.Object {
	// A Claim has no field that encoding can fail on.
	h.object.Value, _ = json.Marshal(h.claim)
	return h.object
}

// recorded returns the outcome that a claim holds.
func recorded(cl Claim) *Outcome {
	if cl.State == StateDone {
		return &Outcome{
			Code: cl.Code,
			Body: cl.Body,
		}
	}
	return unknown()
}

func unknown() *Outcome {
	return &Outcome{
		Code: classifier.OutcomeUnknown,
	}
}

func unavailable() *Outcome {
	return &Outcome{
		Code: classifier.PlatformUnavailable,
	}
}

// record writes the outcome into the claim. It returns when that is done or ctx ends; the write goes on after that.
func (c *Claimer) record(ctx context.Context, h *held, o Outcome) {
	switch {
	case o.Code == classifier.OK || o.Code == classifier.BackendFailed:
		h.claim.State = StateDone
	case o.Code.NotRun():
		h.claim.State = StateNotRun
	default:
		h.claim.State = StateUnknown
	}
	h.claim.Code = o.Code
	if len(o.Body) <= MaxRecordedBodyBytes {
		h.claim.Body = o.Body
	}
	done := make(chan struct{})
	tooMany := c.recording.Add(1) > maxRecording
	go func() {
		defer close(done)
		defer c.recording.Add(-1)
		c.write(context.WithoutCancel(ctx), h)
	}()
	if tooMany {
		<-done
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// write tries to store the outcome a few times. A claim that stays open is answered with an unknown outcome, which is safe.
func (c *Claimer) write(ctx context.Context, h *held) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	object := h.encode()
	for try := range recordTries {
		_, err := c.opts.Store.Update(ctx, object)
		if err == nil {
			return
		}
		if errors.Is(err, storeclient.ErrConflict) || errors.Is(err, storeclient.ErrNotFound) {
			// Either an earlier try took effect or the claim was deleted.
			return
		}
		wait := c.opts.Timer.After(recordPause << try)
		select {
		case <-wait.C:
		case <-ctx.Done():
			wait.Stop()
			return
		}
	}
	c.opts.Recorder.Record("claimer", "OutcomeNotRecorded", h.object.Name, string(h.claim.State))
}
