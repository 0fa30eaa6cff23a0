package syncer

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"fmt"
	"io"

	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/storeclient"
)

const (
	// compressThreshold is the size in bytes from which the items of an update are compressed. Smaller updates fit into a few
	// packets.
	compressThreshold = 4 << 10
	// maxDecodedBytes limits the decompressed items of an update from another VM. The lists of the largest deployment have about
	// 10 MB.
	maxDecodedBytes = 64 << 20
)

// compressedUpdate caches the last compressed update of a log. Most VMs that sync from this VM are missing the same changes.
type compressedUpdate struct {
	first uint64
	last  uint64
	data  []byte
}

// compress replaces the items of an update of at least compressThreshold by their compressed encoding (gob and DEFLATE).
func (c *compressedUpdate) compress(u *Update) error {
	if itemsSize(u.Items) < compressThreshold {
		return nil
	}
	if c.data == nil || c.first != u.first || c.last != u.last {
		var b bytes.Buffer
		w, err := flate.NewWriter(&b, flate.BestSpeed)
		if err != nil {
			return err
		}
		if err := gob.NewEncoder(w).Encode(u.Items); err != nil {
			return err
		}
		if err := w.Close(); err != nil {
			return err
		}
		*c = compressedUpdate{
			first: u.first,
			last:  u.last,
			data:  b.Bytes(),
		}
	}
	u.Items = nil
	u.Packed = c.data
	return nil
}

func itemsSize(items []storeclient.Item) int {
	n := 0
	for _, i := range items {
		n += len(i.Name) + len(i.Value)
	}
	return n
}

// DecodeItems returns the items of an update, decompressed if necessary.
func DecodeItems(u messenger.FollowUpdate) ([]storeclient.Item, error) {
	if len(u.Packed) == 0 {
		return u.Items, nil
	}
	var items []storeclient.Item
	r := flate.NewReader(bytes.NewReader(u.Packed))
	if err := gob.NewDecoder(io.LimitReader(r, maxDecodedBytes)).Decode(&items); err != nil {
		return nil, fmt.Errorf("decoding the update of %s: %w", u.Kind, err)
	}
	return items, r.Close()
}
