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
	// defaultEventLimit is the maximum number of events in a response if the request has no argument Limit.
	defaultEventLimit = 200
	// maxConcurrentCalls limits how many VMs are queried for events at the same time.
	maxConcurrentCalls = 16
)

func (a *Administrator) handleTimeline(ctx *fasthttp.RequestCtx) (any, error) {
	filter, err := a.parseFilter(ctx.QueryArgs())
	if err != nil {
		return nil, err
	}
	c := &eventCollector{
		limit:  filter.Limit,
		events: a.opts.Recorder.Events(filter),
	}
	a.collectEvents(filter, c)
	return c.response(), nil
}

func (a *Administrator) parseFilter(args *fasthttp.Args) (recorder.Filter, error) {
	f := recorder.Filter{
		Part:   string(args.Peek("Part")),
		Object: string(args.Peek("Object")),
		Limit:  defaultEventLimit,
	}
	var err error
	if f.Since, err = a.parseTime(args, "Since"); err != nil {
		return f, err
	}
	if f.Until, err = a.parseTime(args, "Until"); err != nil {
		return f, err
	}
	if text := string(args.Peek("Limit")); text != "" {
		f.Limit, err = strconv.Atoi(text)
		if err != nil || f.Limit < 1 || f.Limit > recorder.Capacity {
			return f, classifier.Errorf(classifier.BadRequest, "Limit is %.64q; expected an integer from 1 to %d", text, recorder.Capacity)
		}
	}
	return f, nil
}

// parseTime parses a query argument that is a time in RFC 3339 format or a duration before now. It returns the zero time if the
// argument is missing.
func (a *Administrator) parseTime(args *fasthttp.Args, name string) (time.Time, error) {
	text := string(args.Peek(name))
	if text == "" {
		return time.Time{}, nil
	}
	if d, err := time.ParseDuration(text); err == nil && d >= 0 {
		return a.opts.Timer.Now().Add(-d), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, classifier.Errorf(classifier.BadRequest, "%s is %.64q; expected a time in RFC 3339 format or a duration before now", name, text)
	}
	return at, nil
}

// eventCollector merges the events of several VMs. Its method add is safe for concurrent use.
type eventCollector struct {
	mu      sync.Mutex
	limit   int
	events  []recorder.Event
	missing []string
}

// add merges the events of one VM and keeps the latest ones up to the limit. Merging each reply as it arrives keeps the memory
// independent of the number of VMs. If err is not nil, the VM is recorded as missing.
func (c *eventCollector) add(vm string, events []recorder.Event, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.missing = append(c.missing, vm)
		return
	}
	c.events = recorder.Merge(c.limit, c.events, events)
}

func (c *eventCollector) response() TimelineResponse {
	resp := TimelineResponse{
		Events:  make([]Event, 0, len(c.events)),
		Missing: append([]string{}, c.missing...),
	}
	slices.Sort(resp.Missing)
	for _, e := range c.events {
		resp.Events = append(resp.Events, Event{
			Time:   e.Stamp.Time().UTC(),
			VM:     e.VM,
			Part:   e.Part,
			Kind:   e.Kind,
			Object: e.Object,
			Detail: e.Detail,
		})
	}
	return resp
}

// collectEvents queries all other VMs, except those in the state Gone, and adds their events to c.
func (a *Administrator) collectEvents(filter recorder.Filter, c *eventCollector) {
	slots := make(chan struct{}, maxConcurrentCalls)
	var wg sync.WaitGroup
	for _, m := range a.opts.Board.Members.Read().ByName {
		if m.Name == a.opts.VMName || m.State == blackboard.MemberGone {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			events, err := a.fetchEvents(m, filter)
			c.add(m.Name, events, err)
		})
	}
	wg.Wait()
}

func (a *Administrator) fetchEvents(m blackboard.Member, filter recorder.Filter) ([]recorder.Event, error) {
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
