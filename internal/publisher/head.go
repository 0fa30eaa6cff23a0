package publisher

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/recorder"
)

// Kinds and names of the platform objects that contain the configuration.
const (
	KindPart = "ConfigPart"
	KindHead = "ConfigHead"
	NameHead = "current"
)

// Limits of a head.
const (
	// MaxParts is the maximum number of parts of a set. The checksums of that many parts occupy 270 KB of the 1 MB that the
	// platform accepts per value.
	MaxParts = 4096
	// MaxChanges is the maximum number of generations whose changes a head contains.
	MaxChanges = 16
	// MaxChangeObjects is the maximum number of object keys that a change lists.
	MaxChangeObjects = 16
)

// Head is the stored value of the object ConfigHead/current.
type Head struct {
	Generation uint64
	// Parts are the hexadecimal SHA-256 sums of the parts in the order of the objects, at most MaxParts.
	Parts []string
	// Changes describes at most MaxChanges latest generations in ascending order. The last entry describes Generation.
	Changes []Change
	// Stamp is the value of the publisher's logical clock before the write. Readers advance their own clock to it, because the
	// platform does not transmit clock values between VMs.
	Stamp recorder.Stamp
}

// Change identifies the attempt that published a generation and lists what differs from the previous generation.
type Change struct {
	Generation uint64
	// Token is unique for each attempt to publish. If a head contains it, the attempt took effect.
	Token string
	// Objects are the keys of at most MaxChangeObjects changed objects. More is the number of changed objects that are omitted.
	Objects []string
	More    int `json:",omitempty"`
}

// DecodeHead decodes the value of ConfigHead/current. It returns an error if that is not JSON or fails CheckHeadRecord.
func DecodeHead(value []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(value, &h); err != nil {
		return Head{}, fmt.Errorf("decoding the configuration head: %w", err)
	}
	if err := CheckHeadRecord(h.Record()); err != nil {
		return Head{}, err
	}
	return h, nil
}

// CheckHeadRecord returns an error unless the generation is above 0 and the parts are at most MaxParts valid SHA-256 sums.
func CheckHeadRecord(r messenger.ConfigHeadRecord) error {
	if r.Generation == 0 || len(r.Parts) > MaxParts {
		return fmt.Errorf("invalid configuration head: the generation %d is 0 or the number of parts %d is above the limit", r.Generation, len(r.Parts))
	}
	for _, sum := range r.Parts {
		if !isSum(sum) {
			return fmt.Errorf("invalid configuration head: the name %.80q of a part is not a hexadecimal SHA-256 sum", sum)
		}
	}
	return nil
}

func isSum(text string) bool {
	return len(text) == 64 && !slices.ContainsFunc([]byte(text), func(c byte) bool {
		return (c < '0' || c > '9') && (c < 'a' || c > 'f')
	})
}

// Record returns the fields of the head that are sent to other entry VMs.
func (h Head) Record() messenger.ConfigHeadRecord {
	return messenger.ConfigHeadRecord{
		Generation: h.Generation,
		Parts:      h.Parts,
	}
}

// next returns the head of the next generation. The oldest changes are dropped beyond MaxChanges.
func (h Head) next(parts []Part, token string, keys []string) Head {
	change := Change{
		Generation: h.Generation + 1,
		Token:      token,
		Objects:    keys[:min(len(keys), MaxChangeObjects)],
		More:       max(0, len(keys)-MaxChangeObjects),
	}
	changes := append(slices.Clone(h.Changes), change)
	return Head{
		Generation: h.Generation + 1,
		Parts:      sums(parts),
		Changes:    changes[max(0, len(changes)-MaxChanges):],
	}
}

func (h Head) encode() []byte {
	// Marshal cannot fail: Head contains only strings, numbers, and slices and structs of these.
	value, _ := json.Marshal(h)
	return value
}

// generationOf returns the generation that the attempt with the token published, or false if h does not contain the token.
func (h Head) generationOf(token string) (uint64, bool) {
	for _, c := range h.Changes {
		if c.Token == token {
			return c.Generation, true
		}
	}
	return 0, false
}

// changedSince returns the sorted keys of the objects that changed after a generation. Complete is false if h does not list all
// of them.
func (h Head) changedSince(generation uint64) (keys []string, complete bool) {
	complete = len(h.Changes) > 0 && h.Changes[0].Generation <= generation+1
	for _, c := range h.Changes {
		if c.Generation <= generation {
			continue
		}
		complete = complete && c.More == 0
		keys = append(keys, c.Objects...)
	}
	slices.Sort(keys)
	return slices.Compact(keys), complete
}
