package validator

import (
	"fmt"
	"time"

	"github.com/anvildyke/anvildyke/internal/parser"
)

func (c *check) moveObject(o parser.Move) {
	refer[parser.Application](c, o, "Application", o.Application)
	c.single(c.move, o, o.Application)
	c.version(o, "From", o.From, o.Application)
	c.version(o, "To", o.To, o.Application)
	if o.From == o.To && o.From != "" {
		c.fault(o, "To", "the version is the same as in From")
	}
	c.served(o, "To", o.To)
	c.steps(o)
	c.schedule(o)
}

func (c *check) steps(o parser.Move) {
	last := 0
	for i, s := range o.Steps {
		if s <= last || s > 100 {
			c.fault(o, fmt.Sprintf("Steps[%d]", i), "%d is not above %d and at most 100", s, last)
		}
		last = s
	}
	if last != 100 {
		c.fault(o, "Steps", "the last step is %d, not 100", last)
	}
}

// schedule checks whether all steps fit between Start, or now if that is later, and FinishBy.
func (c *check) schedule(o parser.Move) {
	if o.Start.IsZero() || o.FinishBy.IsZero() {
		c.fault(o, "FinishBy", "Start or FinishBy is missing")
		return
	}
	if !o.FinishBy.After(o.Start) {
		c.fault(o, "FinishBy", "the time is not after Start")
		return
	}
	begin := o.Start
	if old, ok := c.installed[parser.Key(o)]; !ok || !parser.Equal(old, o) {
		if !o.FinishBy.After(c.now) {
			c.fault(o, "FinishBy", "the time is past")
			return
		}
		if c.now.After(begin) {
			begin = c.now
		}
	}
	need := time.Duration(len(o.Steps)) * MinStepDuration
	if got := o.FinishBy.Sub(begin); got < need {
		c.fault(o, "FinishBy", "%d steps need at least %s, but %s are left", len(o.Steps), need, got.Round(time.Millisecond))
	}
}
