package publisher

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/recorder"
)

// Kinds and names of the platform's objects that hold the configuration.
const (
	KindPart = "ConfigPart"
	KindHead = "ConfigHead"
	NameHead = "current"
)

// Bounds of a head.
const (
	// MaxParts bounds the parts of a set: the sums of this many parts take 270 KB of the platform's 1 MB per value.
	MaxParts = 4096
	// MaxChanges is how many generations a head remembers.
	MaxChanges = 16
	// MaxChangeObjects is how many names of objects a change lists.
	MaxChangeObjects = 16
)

// Head is the value of ConfigHead/current.
type Head struct {
	Generation uint64
	// Parts are the hexadecimal SHA-256 sums of the parts in order, at most MaxParts.
	Parts []string
	// Changes describes the latest generations in ascending order. The last entry belongs to Generation.
	Changes []Change
	// Stamp is the publisher's clock before the write. Readers observe it, because the platform passes on no clocks of ours.
	Stamp recorder.Stamp
}

// Change says who published a generation and what differs from the one before.
type Change struct {
	Generation uint64
	// Token is unique for each attempt to publish. Its presence proves that the attempt took effect.
	Token string
	// Objects are the keys of at most MaxChangeNames objects; More counts those left out.
	Objects []string
	More    int `json:",omitempty"`
}

// DecodeHead reads the value of ConfigHead/current and checks its form.
func DecodeHead(value []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(value, &h); err != nil {
		return Head{}, fmt.Errorf("the configuration head cannot be read: %w", err)
	}
	if err := CheckHeadRecord(h.Record()); err != nil {
		return Head{}, err
	}
	return h, nil
}

// CheckHeadRecord returns an error unless the record has a generation and at most MaxParts sums.
func CheckHeadRecord(r messenger.ConfigHeadRecord) error {
	if r.Generation == 0 || len(r.Parts) > MaxParts {
		return fmt.Errorf("the configuration head has generation %d and %d parts", r.Generation, len(r.Parts))
	}
	for _, sum := range r.Parts {
		if !isSum(sum) {
			return fmt.Errorf("the configuration head names a part by %.80q, which is not a SHA-256 sum", sum)
		}
	}
	return nil
}

func isSum(text string) bool {
	return len(text) == 64 && !slices.ContainsFunc([]byte(text), func(c byte) bool {
		return (c < '0' || c > '9') && (c < 'a' || c > 'f')
	})
}

// Record returns what other entry VMs need of the head.
func (h Head) Record() messenger.ConfigHeadRecord {
	return messenger.ConfigHeadRecord{
		Generation: h.Generation,
		Parts:      h.Parts,
	}
}

// next returns the head that replaces h.
func (h Head) next(parts []Part, token string, names []string) Head {
	change := Change{
		Generation: h.Generation + 1,
		Token:      token,
		Objects:    names[:min(len(names), MaxChangeObjects)],
		More:       max(0, len(names)-MaxChangeObjects),
	}
	changes := append(slices.Clone(h.Changes), change)
	return Head{
		Generation: h.Generation + 1,
		Parts:      sums(parts),
		Changes:    changes[max(0, len(changes)-MaxChanges):],
	}
}

func (h Head) encode() []byte {
	// Marshal cannot fail: the type has only strings and numbers.
	value, _ := json.Marshal(h)
	return value
}

// published returns the generation that the attempt with the token published.
func (h Head) published(token string) (uint64, bool) {
	for _, c := range h.Changes {
		if c.Token == token {
			return c.Generation, true
		}
	}
	return 0, false
}

// since returns the keys of the objects that changed after a generation. Complete is false when some are not known.
func (h Head) since(generation uint64) (names []string, complete bool) {
	complete = len(h.Changes) > 0 && h.Changes[0].Generation <= generation+1
	for _, c := range h.Changes {
		if c.Generation <= generation {
			continue
		}
		complete = complete && c.More == 0
		names = append(names, c.Objects...)
	}
	slices.Sort(names)
	return slices.Compact(names), complete
}
