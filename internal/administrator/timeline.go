package administrator

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/recorder"
)

const (
	// defaultEvents is how many events a time line has without a limit.
	defaultEvents = 200
	// maxCalls bounds the VMs that are asked for events at the same time.
	maxCalls = 16
)

func (a *Administrator) timeline(ctx *fasthttp.RequestCtx) (any, error) {
	filter, err := a.filter(ctx.QueryArgs())
	if err != nil {
		return nil, err
	}
	c := &collection{
		limit:  filter.Limit,
		events: a.opts.Recorder.Events(filter),
	}
	a.collect(filter, c)
	return c.answer(), nil
}

func (a *Administrator) filter(args *fasthttp.Args) (recorder.Filter, error) {
	f := recorder.Filter{
		Part:   string(args.Peek("Part")),
		Object: string(args.Peek("Object")),
		Limit:  defaultEvents,
	}
	var err error
	if f.Since, err = a.timeOf(args, "Since"); err != nil {
		return f, err
	}
	if f.Until, err = a.timeOf(args, "Until"); err != nil {
		return f, err
	}
	if text := string(args.Peek("Limit")); text != "" {
		f.Limit, err = strconv.Atoi(text)
		if err != nil || f.Limit < 1 || f.Limit > recorder.Capacity {
			return f, classifier.Errorf(classifier.BadRequest, "Limit is %.64q; a whole number from 1 to %d is expected", text, recorder.Capacity)
		}
	}
	return f, nil
}

// timeOf reads a time in RFC 3339 or a duration before now. Without the argument it returns the zero time.
func (a *Administrator) timeOf(args *fasthttp.Args, name string) (time.Time, error) {
	text := string(args.Peek(name))
	if text == "" {
		return time.Time{}, nil
	}
	if d, err := time.ParseDuration(text); err == nil && d >= 0 {
		return a.opts.Timer.Now().Add(-d), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, classifier.Errorf(classifier.BadRequest, "%s is %.64q; a time in RFC 3339 or a duration before now is expected", name, text)
	}
	return at, nil
}

// collection gathers the events of several VMs.
type collection struct {
	mu      sync.Mutex
	limit   int
	events  []recorder.Event
	missing []string
}

// add merges the events of one VM at once, so that the memory does not grow with the number of VMs.
func (c *collection) add(vm string, events []recorder.Event, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.missing = append(c.missing, vm)
		return
	}
	c.events = recorder.Merge(c.limit, c.events, events)
}

func (c *collection) answer() TimelineResponse {
	answer := TimelineResponse{
		Events:  make([]Event, 0, len(c.events)),
		Missing: append([]string{}, c.missing...),
	}
	slices.Sort(answer.Missing)
	for _, e := range c.events {
		answer.Events = append(answer.Events, Event{
			Time:   e.Stamp.Time().UTC(),
			VM:     e.VM,
			Part:   e.Part,
			Kind:   e.Kind,
			Object: e.Object,
			Detail: e.Detail,
		})
	}
	return answer
}

// collect asks all other VMs that are not known to be gone.
func (a *Administrator) collect(filter recorder.Filter, c *collection) {
	slots := make(chan struct{}, maxCalls)
	var wg sync.WaitGroup
	for _, m := range a.opts.Board.Members.Read().ByName {
		if m.Name == a.opts.Self || m.State == blackboard.MemberGone {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			events, err := a.eventsOf(m, filter)
			c.add(m.Name, events, err)
		})
	}
	wg.Wait()
}

func (a *Administrator) eventsOf(m blackboard.Member, filter recorder.Filter) ([]recorder.Event, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var reply messenger.EventsReply
	err := a.opts.Client.Call(ctx, m.Address, messenger.MethodEvents, &messenger.EventsRequest{
		Stamp:  a.opts.Recorder.NextStamp(),
		Filter: filter,
	}, &reply)
	if err != nil {
		return nil, err
	}
	a.opts.Recorder.Observe(reply.Stamp)
	return reply.Events, nil
}
