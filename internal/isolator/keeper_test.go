package isolator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/timer"
)

// fakeArchive is an archive without a platform.
type fakeArchive struct {
	era          uint64
	zones        map[string][]byte
	fails        bool
	loads, saves int
}

var errArchive = errors.New("the platform refuses calls")

func (a *fakeArchive) Era() uint64 { return a.era }

func (a *fakeArchive) Load(context.Context, bool) (map[string][]byte, error) {
	a.loads++
	if a.fails {
		return nil, errArchive
	}
	return a.zones, nil
}

func (a *fakeArchive) Save(_ context.Context, zone string, data []byte) error {
	a.saves++
	if a.fails {
		return errArchive
	}
	a.zones[zone] = data
	return nil
}

// keeperScript runs the steps of testdata/keeper.txt.
type keeperScript struct {
	t        *testing.T
	archive  *fakeArchive
	isolator *Isolator
	keeper   *Keeper
	cut      bool
}

// restart begins with an empty memory, as all VMs of the zone do when they are killed at the same time.
func (s *keeperScript) restart() {
	s.isolator = New(nil, zerolog.Nop())
	s.keeper = NewKeeper(KeeperOptions{
		Zone:     "north",
		Isolator: s.isolator,
		Archive:  s.archive,
		IsReader: func() bool { return true },
		PlatformAnswers: func() bool {
			return true
		},
		IsCutOff: func() bool { return s.cut },
		Timer:    timer.NewVirtual(time.Unix(0, 0)),
		Log:      zerolog.Nop(),
	})
}

func (s *keeperScript) run(line string) {
	words := strings.Fields(line)
	if len(words) == 0 || words[0] == "#" {
		return
	}
	ms, err := strconv.Atoi(words[0])
	assert.NilError(s.t, err, line)
	now := time.Unix(100000, 0).Add(time.Duration(ms) * time.Millisecond)
	subject := func() Subject {
		return NewSubject("service", xxhash.Sum64String(words[2]))
	}
	switch words[1] {
	case "keep":
		s.keeper.keepIfReader(context.Background(), now)
	case "crash":
		s.isolator.RecordCrash(Crash{
			Subject: subject(),
			Server:  xxhash.Sum64String(words[3]),
			Began:   now.Add(-time.Millisecond),
			At:      now,
		}, now)
	case "survive":
		s.isolator.RecordSurvival(subject(), Answer{}, now)
	case "restart":
		s.restart()
	case "era":
		s.archive.era++
		clear(s.archive.zones)
	case "fail":
		s.archive.fails = words[2] == "on"
	case "cut":
		s.cut = words[2] == "on"
	case "remote":
		s.saveRemote(subject(), now)
	case "calls":
		assert.Equal(s.t, fmt.Sprint(s.archive.loads, s.archive.saves), words[2]+" "+words[3], line)
	case "want":
		assert.Equal(s.t, strings.ToLower(strings.TrimPrefix(fmt.Sprintf("%T", s.isolator.Admit(subject(), now)), "isolator.")), words[3], line)
	default:
		s.t.Fatalf("unknown step: %s", line)
	}
}

// saveRemote saves three crashes as another zone does.
func (s *keeperScript) saveRemote(subject Subject, now time.Time) {
	var archived archivedReports
	for n := range 3 {
		at := now.Add(time.Duration(n-3) * time.Second)
		archived.Reports = append(archived.Reports, messenger.CrashReport{
			Key:      uint64(subject.Key),
			Contents: uint64(subject.Contents),
			Server:   uint64(n),
			Began:    at.Add(-time.Millisecond),
			At:       at,
		})
	}
	data, err := json.Marshal(archived)
	assert.NilError(s.t, err)
	s.archive.zones["south"] = data
}

// Guards against crashes that no VM knows of after all of them were killed, against writes that are lost with a call or with the platform, and
// against calls for which there is no reason (issue 43).
func TestCrashesOutliveProcesses(t *testing.T) {
	data, err := os.ReadFile("testdata/keeper.txt")
	assert.NilError(t, err)
	s := &keeperScript{
		t: t,
		archive: &fakeArchive{
			zones: map[string][]byte{},
		},
	}
	s.restart()
	for _, line := range strings.Split(string(data), "\n") {
		s.run(line)
	}
}

// Guards against data in the archive, which other programs may write, that ends the process or stops the reading of other zones.
func TestArchiveMayHoldAnything(t *testing.T) {
	for _, text := range []string{"", "{", "7", `{"Reports":7}`, `{"Reports":[{"Key":-1}]}`, `{"Reports":[{"At":"x"}]}`, "null"} {
		s := &keeperScript{
			t: t,
			archive: &fakeArchive{
				zones: map[string][]byte{
					"east": []byte(text),
				},
			},
		}
		s.restart()
		s.run("1000 remote b")
		s.run("1500 keep")
		s.run("1500 want b refused")
	}
}

// More crashes are known than a zone can save, most of them of requests that are not restricted. Guards against isolated requests that are left
// out of what is saved (issue 43).
func TestIsolatedRequestsAreSavedFirst(t *testing.T) {
	const isolated = 1200
	i, saved := New(nil, zerolog.Nop()), New(nil, zerolog.Nop())
	now := time.Unix(100000, 0)
	crash := func(request, server int) {
		i.RecordCrash(Crash{
			Subject: NewSubject("service", uint64(request)),
			Server:  uint64(server),
			Began:   now.Add(-time.Millisecond),
			At:      now,
		}, now)
	}
	for c := range 3 {
		for n := range isolated {
			crash(n, 3*n+c)
		}
		now = now.Add(time.Second)
	}
	for n := range 600 {
		crash(isolated+n, 10*isolated+n)
	}
	now = now.Add(time.Minute)
	reports := i.durable(now)
	assert.Equal(t, len(reports), maxSaved)
	data, err := json.Marshal(archivedReports{
		Reports: reports,
	})
	assert.NilError(t, err)
	// The platform stores values of up to 1 MB.
	assert.Assert(t, len(data) < 1<<20, "%d bytes", len(data))
	saved.Merge(reports, now)
	assert.Equal(t, saved.Isolated(), isolated)
}
