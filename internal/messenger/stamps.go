package messenger

import (
	"reflect"

	"github.com/anvildyke/anvildyke/internal/recorder"
)

// Message is implemented by pointers to all messages. The connection fills the stamp when a message is sent and observes it
// when one arrives.
type Message interface {
	stamp() *recorder.Stamp
}

func (m *SearchRequest) stamp() *recorder.Stamp     { return &m.Stamp }
func (m *SearchReply) stamp() *recorder.Stamp       { return &m.Stamp }
func (m *CollectRequest) stamp() *recorder.Stamp    { return &m.Stamp }
func (m *CancelRequest) stamp() *recorder.Stamp     { return &m.Stamp }
func (m *RunRequest) stamp() *recorder.Stamp        { return &m.Stamp }
func (m *RunReply) stamp() *recorder.Stamp          { return &m.Stamp }
func (m *HeartbeatRequest) stamp() *recorder.Stamp  { return &m.Stamp }
func (m *HeartbeatReply) stamp() *recorder.Stamp    { return &m.Stamp }
func (m *ReleaseRequest) stamp() *recorder.Stamp    { return &m.Stamp }
func (m *ReleaseReply) stamp() *recorder.Stamp      { return &m.Stamp }
func (m *ExchangeRequest) stamp() *recorder.Stamp   { return &m.Stamp }
func (m *ExchangeReply) stamp() *recorder.Stamp     { return &m.Stamp }
func (m *FetchPartsRequest) stamp() *recorder.Stamp { return &m.Stamp }
func (m *FetchPartsReply) stamp() *recorder.Stamp   { return &m.Stamp }
func (m *EventsRequest) stamp() *recorder.Stamp     { return &m.Stamp }
func (m *EventsReply) stamp() *recorder.Stamp       { return &m.Stamp }
func (m *QueryRequest) stamp() *recorder.Stamp      { return &m.Stamp }
func (m *QueryReply) stamp() *recorder.Stamp        { return &m.Stamp }
func (m *FollowRequest) stamp() *recorder.Stamp     { return &m.Stamp }
func (m *FollowReply) stamp() *recorder.Stamp       { return &m.Stamp }
func (m *MovesRequest) stamp() *recorder.Stamp      { return &m.Stamp }
func (m *MovesReply) stamp() *recorder.Stamp        { return &m.Stamp }

// stampMessage marks body as sent now.
func stampMessage(r *recorder.Recorder, body any) {
	if m, ok := body.(Message); ok {
		*m.stamp() = r.NextStamp()
	}
}

// observeMessage advances the clock past the stamp of a received body.
func observeMessage(r *recorder.Recorder, body any) {
	if m, ok := body.(Message); ok {
		r.Observe(*m.stamp())
	}
}

// copyOf returns a pointer to a shallow copy of v, a value or a pointer, so that a message that several calls share is not
// written to.
func copyOf(v any) any {
	from := reflect.Indirect(reflect.ValueOf(v))
	to := reflect.New(from.Type())
	to.Elem().Set(from)
	return to.Interface()
}

// emptyLike returns a pointer to a zero value of the type that p points to.
func emptyLike(p any) any {
	return reflect.New(reflect.TypeOf(p).Elem()).Interface()
}

// assign copies the value that from points to into the one that to points to. Both have the same type.
func assign(to, from any) {
	reflect.ValueOf(to).Elem().Set(reflect.ValueOf(from).Elem())
}
