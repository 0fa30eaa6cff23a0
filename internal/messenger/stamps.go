package messenger

import (
	"reflect"

	"github.com/anvildyke/anvildyke/internal/recorder"
)

// Message is implemented by pointers to all messages except CancelReply. The codec sets the stamp when a message is sent and
// advances the local clock past it when one arrives.
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
func (m *CrashesRequest) stamp() *recorder.Stamp    { return &m.Stamp }
func (m *CrashesReply) stamp() *recorder.Stamp      { return &m.Stamp }

// stampMessage sets the stamp of body to the next stamp of this VM.
func stampMessage(r *recorder.Recorder, body any) {
	if m, ok := body.(Message); ok {
		*m.stamp() = r.NextStamp()
	}
}

// observeMessage advances the clock of r past the stamp of a received body.
func observeMessage(r *recorder.Recorder, body any) {
	if m, ok := body.(Message); ok {
		r.Observe(*m.stamp())
	}
}

// shallowCopy returns a pointer to a shallow copy of v, a value or a pointer. The stamp is written to the copy, because several
// calls may share one message.
func shallowCopy(v any) any {
	src := reflect.Indirect(reflect.ValueOf(v))
	dst := reflect.New(src.Type())
	dst.Elem().Set(src)
	return dst.Interface()
}

// newLike returns a pointer to a zero value of the type that p points to.
func newLike(p any) any {
	return reflect.New(reflect.TypeOf(p).Elem()).Interface()
}

// copyValue copies the value that src points to into the value that dst points to. Both must have the same type.
func copyValue(dst, src any) {
	reflect.ValueOf(dst).Elem().Set(reflect.ValueOf(src).Elem())
}
