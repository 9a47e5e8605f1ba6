package crashes

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanway/core/fleet"
)

var epoch = time.Unix(1_000_000, 0)

// deployment is a leader's detector with several entry hosts, whose clock the test advances.
type deployment struct {
	t        *testing.T
	now      time.Time
	detector *Detector
	term     uint64
	hosts    []*Evidence
	servers  fleet.Incarnation
}

func newDeployment(t *testing.T, hosts int) *deployment {
	d := &deployment{t: t, now: epoch, term: 1, detector: NewDetector(1)}
	for range hosts {
		d.hosts = append(d.hosts, &Evidence{})
	}
	return d
}

// pass advances the clock; each host reports every 500 ms.
func (d *deployment) pass(for_ time.Duration) {
	for end := d.now.Add(for_); d.now.Before(end); d.now = d.now.Add(500 * time.Millisecond) {
		d.report()
	}
}

func (d *deployment) report() {
	d.detector.Tick(d.now)
	for _, h := range d.hosts {
		d.reportOf(h)
	}
}

func (d *deployment) reportOf(h *Evidence) {
	r := h.Report(d.now)
	h.Apply(d.now, d.now, r, d.detector.Handle(d.now, r))
}

// crash makes a server crash under requests of the given hosts; each has the same contents.
func (d *deployment) crash(contents []Content, hosts ...int) {
	d.servers++
	for _, h := range hosts {
		d.hosts[h].RecordCrash(d.now, "s", d.servers, contents)
	}
}

func (d *deployment) answer(host int, contents ...Content) {
	d.hosts[host].RecordAnswer(d.now, contents)
}

func (d *deployment) isListed(contents ...Content) bool {
	n := 0
	for _, h := range d.hosts {
		if _, ok := h.Listed(d.now, contents); ok {
			n++
		}
	}
	require.Contains(d.t, []int{0, len(d.hosts)}, n, "some hosts know it and others don't")
	return n > 0
}

func (d *deployment) changeLeader() {
	d.term++
	d.detector = NewDetector(d.term)
}

var (
	first   = PromptPart("shared", 1)
	subject = PromptPart("subject", 2)
	deadly  = PromptPart("deadly", 3)
)

func request(n int) Content {
	return WholeRequest([]byte("POST"), fmt.Appendf(nil, "/%d", n), nil, nil)
}

// Each case guards against a part that goes on crashing servers, or against sound requests that are refused since they share parts
// with requests that crash servers or were in flight at servers that crashed for another reason.
func TestDecision(t *testing.T) {
	tests := map[string]struct {
		play func(d *deployment)
		// listed and unlisted hold contents for each of which all requests are refused or run.
		listed, unlisted []Content
	}{
		"part in new requests at several hosts": {func(d *deployment) {
			for i := range 3 {
				d.crash([]Content{first, deadly, request(i)}, i)
				d.pass(time.Second)
				d.answer(3, first)
			}
		}, []Content{deadly}, []Content{first}},
		"the shared part crashes servers under several subjects": {func(d *deployment) {
			for i := range 4 {
				d.crash([]Content{first, PromptPart(fmt.Sprint(i), 2), request(i)}, 0)
				d.pass(time.Second)
			}
		}, []Content{first}, []Content{subject}},
		"two crashes": {func(d *deployment) {
			for range 2 {
				d.crash([]Content{first, deadly}, 0)
				d.pass(3 * time.Second)
			}
		}, nil, []Content{first, deadly}},
		"answered between the crashes": {func(d *deployment) {
			for range 8 {
				d.crash([]Content{first, subject}, 0)
				d.pass(time.Second)
				d.answer(2, first, subject)
				d.pass(time.Second)
			}
		}, nil, []Content{first, subject}},
		"several servers crash at one moment": {func(d *deployment) {
			for range 4 {
				d.crash([]Content{first, subject}, 0, 1, 2)
			}
			d.pass(5 * time.Second)
		}, nil, []Content{first, subject}},
		"many servers crash at one moment, one answer since": {func(d *deployment) {
			for range 40 {
				d.crash([]Content{first, subject}, 0, 1, 2)
			}
			d.pass(time.Second)
			d.answer(3, first, subject)
			d.pass(5 * time.Second)
		}, nil, []Content{first, subject}},
		"crashes in quick succession": {func(d *deployment) {
			for i := range 5 {
				d.crash([]Content{first, deadly, request(i)}, i%4)
			}
			d.answer(3, first)
			d.pass(3 * time.Second)
		}, []Content{deadly}, nil},
		"sound subject in flight at the same crashes, answered later": {func(d *deployment) {
			for i := range 3 {
				d.crash([]Content{first, deadly, request(i)}, 0)
				d.crashAlso([]Content{first, subject}, 1)
				d.pass(time.Second)
			}
			d.answer(1, first, subject)
			d.pass(time.Second)
		}, []Content{deadly}, []Content{subject, first}},
		"whole request that comes again": {func(d *deployment) {
			for range 3 {
				d.crash([]Content{first, subject, request(7)}, 0)
				d.pass(time.Second)
				d.answer(2, first, subject, request(8))
			}
		}, []Content{request(7)}, []Content{first, subject, request(8)}},
		"repeated requests with one part": {func(d *deployment) {
			for i := range 8 {
				d.crash([]Content{first, deadly, request(i / 2)}, i%4)
				d.pass(time.Second)
				d.answer(2, first)
			}
		}, []Content{deadly}, []Content{first}},
		"one request three times before others with the part": {func(d *deployment) {
			for i := range 4 {
				d.crash([]Content{first, deadly, request(i / 3)}, i%4)
				d.pass(time.Second)
				d.answer(2, first)
			}
			d.pass(time.Second)
		}, []Content{deadly}, []Content{first}},
		"listing outlives a change of the leader": {func(d *deployment) {
			for i := range 3 {
				d.crash([]Content{first, deadly, request(i)}, i)
				d.pass(time.Second)
				d.answer(3, first)
			}
			d.pass(time.Second)
			d.changeLeader()
			d.pass(2 * time.Second)
		}, []Content{deadly}, nil},
		"crashes before and after a change of the leader": {func(d *deployment) {
			for i := range 2 {
				d.crash([]Content{first, deadly, request(i)}, i)
				d.pass(time.Second)
				d.answer(3, first)
			}
			d.changeLeader()
			d.pass(time.Second)
			d.crash([]Content{first, deadly, request(3)}, 3)
			d.pass(2 * time.Second)
		}, []Content{deadly}, nil},
		"not tried for lack of requests": {func(d *deployment) {
			d.listDeadly()
			d.pass(minListTime + retention + time.Second)
		}, nil, []Content{deadly}},
		"still listed while requests come": {func(d *deployment) {
			d.listDeadly()
			d.pass(minListTime + time.Second)
		}, []Content{deadly}, []Content{first}},
		"trial is answered": {func(d *deployment) {
			d.listDeadly()
			d.answer(d.awaitTrial(), first, deadly)
			d.pass(time.Second)
		}, nil, []Content{deadly, first}},
		"listed and answered": {func(d *deployment) {
			d.listDeadly()
			d.answer(2, first, deadly)
			d.pass(time.Second)
		}, nil, []Content{deadly}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, 4)
			tt.play(d)
			for _, c := range tt.listed {
				require.True(t, d.isListed(c), "%v is not listed", c)
			}
			for _, c := range tt.unlisted {
				require.False(t, d.isListed(c), "%v is listed", c)
			}
		})
	}
}

// Guards against a search that settles on what all requests share while no server answers: only requests with all that the crashes have in
// common are refused, so that the others tell the parts apart.
func TestPartsThatEvidenceDoesNotTellApart(t *testing.T) {
	all := []Content{first, subject, deadly}
	requestWith := func(parts ...Content) []Content { return append(slices.Clone(parts), request(1000)) }
	crashThrice := func(d *deployment) {
		for i := range 3 {
			d.crash(append(slices.Clone(all), request(i)), 0)
			d.pass(time.Second)
		}
		d.pass(time.Second)
	}
	tests := map[string]struct {
		play             func(d *deployment)
		refused, running [][]Content
	}{
		"no answer": {crashThrice, [][]Content{requestWith(all...)}, [][]Content{requestWith(first, subject), requestWith(deadly)}},
		"an answer to some of them": {func(d *deployment) {
			crashThrice(d)
			d.answer(2, requestWith(first, subject)...)
			d.pass(time.Second)
		}, [][]Content{requestWith(all...), requestWith(deadly)}, [][]Content{requestWith(first, subject)}},
		"answered before the crashes": {func(d *deployment) {
			d.answer(2, requestWith(first, subject)...)
			d.pass(time.Second)
			crashThrice(d)
		}, [][]Content{requestWith(deadly)}, [][]Content{requestWith(first, subject)}},
		"other requests in flight at each crash": {func(d *deployment) {
			for i := range 3 {
				d.crash([]Content{first, deadly, request(i)}, 0)
				d.crashAlso([]Content{subject, request(100 + i)}, 0)
				d.pass(time.Second)
			}
			d.pass(time.Second)
		}, [][]Content{requestWith(first, deadly)}, [][]Content{requestWith(first, subject)}},
		"crashes go on": {func(d *deployment) {
			crashThrice(d)
			for i := range 2 {
				d.crash([]Content{subject, deadly, request(10 + i)}, 0)
				d.pass(time.Second)
			}
			d.pass(time.Second)
		}, [][]Content{requestWith(all...), requestWith(subject, deadly)}, [][]Content{requestWith(first, subject)}},
		"taken over by a new leader": {func(d *deployment) {
			crashThrice(d)
			d.changeLeader()
			d.pass(2 * time.Second)
		}, [][]Content{requestWith(all...)}, [][]Content{requestWith(first, subject), requestWith(deadly)}},
		"taken over, with answers from before": {func(d *deployment) {
			d.answer(2, requestWith(first)...)
			d.pass(time.Second)
			crashThrice(d)
			d.changeLeader()
			d.pass(2 * time.Second)
		}, [][]Content{requestWith(subject, deadly)}, [][]Content{requestWith(first, subject)}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, 4)
			tt.play(d)
			for _, contents := range tt.refused {
				require.True(t, d.isListed(contents...), "%v runs", contents)
			}
			for _, contents := range tt.running {
				require.False(t, d.isListed(contents...), "%v is refused", contents)
			}
		})
	}
}

// listDeadly plays crashes until the deadly part is listed.
func (d *deployment) listDeadly() {
	for i := range 3 {
		d.crash([]Content{first, deadly, request(i)}, i)
		d.pass(time.Second)
		d.answer(3, first)
	}
	d.pass(time.Second)
	require.True(d.t, d.isListed(deadly))
}

// awaitTrial lets requests with the deadly part come at all hosts until one is let through, and returns its host. Only one is let
// through within the time in which its end is awaited.
func (d *deployment) awaitTrial() int {
	began, host, trials := d.now, -1, 0
	for end := began.Add(maxListTime + time.Second); d.now.Before(end) && trials == 0; d.now = d.now.Add(100 * time.Millisecond) {
		d.report()
		for i, h := range d.hosts {
			if h.Admit(d.now, Listing{Content: deadly}, []Content{first, deadly}) {
				host = i
				trials++
			}
		}
	}
	require.Equal(d.t, 1, trials)
	for end := d.now.Add(trialTime / 2); d.now.Before(end); d.now = d.now.Add(100 * time.Millisecond) {
		d.report()
		for _, h := range d.hosts {
			require.False(d.t, h.Admit(d.now, Listing{Content: deadly}, []Content{first, deadly}), "another trial")
		}
	}
	return host
}

// Guards against trial requests that crash one server a minute for ever, and against several at once.
func TestTrialsBecomeRare(t *testing.T) {
	d := newDeployment(t, 4)
	d.listDeadly()
	last := d.now
	for n := range 6 {
		host := d.awaitTrial()
		require.GreaterOrEqual(t, d.now.Sub(last), min(minListTime<<n, maxListTime)-time.Second)
		last = d.now
		d.crash([]Content{first, deadly, request(100 + n)}, host)
		d.pass(time.Second)
		require.True(t, d.isListed(deadly))
	}
}

// Guards against hosts that use the grant of a trial after the trial of another host has crashed a server: each of them would crash one more.
// Requests come so rarely that several hosts are granted a trial before one of them gets the next request.
func TestGrantEndsWithFailedTrial(t *testing.T) {
	d := newDeployment(t, 4)
	d.listDeadly()
	contents := []Content{first, deadly, request(100)}
	admitted := func() (n int) {
		for _, h := range d.hosts {
			if l, ok := h.Listed(d.now, contents); ok && h.Admit(d.now, l, contents) {
				n++
			}
		}
		return n
	}
	require.Zero(t, admitted())
	d.now = d.now.Add(minListTime)
	for _, h := range d.hosts {
		d.reportOf(h)
		d.now = d.now.Add(trialTime)
	}
	l, ok := d.hosts[0].Listed(d.now, contents)
	require.True(t, ok)
	require.True(t, d.hosts[0].Admit(d.now, l, contents), "no host was granted a trial")
	d.crash(contents, 0)
	d.pass(time.Second)
	require.Zero(t, admitted(), "trials after the one that crashed a server")
	d.pass(minListTime)
	require.Zero(t, admitted(), "grants of before that come into force again once the next trial is due")
}

// crashAlso adds contents of another host to the last crash.
func (d *deployment) crashAlso(contents []Content, host int) {
	d.hosts[host].RecordCrash(d.now, "s", d.servers, contents)
}

// Guards against more than three requests with a deadly part after the fifth crash: it must be listed within the time in which
// hosts have to know of it, the shortest contact time of the installations.
func TestListedInTime(t *testing.T) {
	const contactTime = 4 * time.Second
	for _, gap := range []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond, time.Second, 4 * time.Second} {
		d := newDeployment(t, 4)
		for i := range 5 {
			d.crash([]Content{first, deadly, request(i)}, i%4)
			for end := d.now.Add(gap); d.now.Before(end); d.now = d.now.Add(100 * time.Millisecond) {
				d.report()
			}
		}
		d.pass(contactTime)
		require.True(t, d.isListed(first, deadly, request(99)), "crashes every %v", gap)
	}
}

// Guards against hosts that send bytes about crashes although there were none, and against ones that repeat what the leader has
// heard.
func TestNothingToTell(t *testing.T) {
	d := newDeployment(t, 2)
	d.answer(0, first)
	require.Nil(t, d.hosts[0].Report(d.now))
	require.Nil(t, d.detector.Handle(d.now, nil))
	d.crash([]Content{first}, 0)
	d.report()
	r := d.hosts[0].Report(d.now)
	require.Empty(t, r.Crashes)
	require.Nil(t, d.detector.Handle(d.now, r))
	require.Nil(t, d.detector.Handle(d.now, nil))
	d.now = d.now.Add(retention + time.Second)
	require.Nil(t, d.hosts[0].Report(d.now))
}

// Guards against evidence that is lost with a report that the leader has not received.
func TestLostReportIsRepeated(t *testing.T) {
	e := &Evidence{}
	e.RecordCrash(epoch, "s", 1, []Content{first})
	require.Len(t, e.Report(epoch).Crashes, 1)
	r := e.Report(epoch.Add(time.Second))
	require.Len(t, r.Crashes, 1)
	require.Equal(t, time.Second, r.Crashes[0].Age)
	e.RecordCrash(epoch, "s", 1, []Content{subject})
	e.Apply(epoch, epoch, r, &State{Revision: Revision{Term: 1}})
	r = e.Report(epoch)
	require.Len(t, r.Crashes, 1, "a request was added while the report was under way")
	require.Len(t, r.Crashes[0].Contents, 2)
}

// Guards against tables that grow without bound.
func TestDetectorIsBounded(t *testing.T) {
	d := NewDetector(1)
	now := epoch
	for i := range 240 {
		now = now.Add(time.Second)
		var contents []Content
		for j := range 80 {
			contents = append(contents, PromptPart(fmt.Sprint(i/4, j), 2))
		}
		d.Handle(now, &Report{Crashes: []Crash{{Instance: "s", Incarnation: fleet.Incarnation(i), Contents: contents}}})
		d.Tick(now)
	}
	require.LessOrEqual(t, len(d.contents), maxContents)
	require.LessOrEqual(t, len(d.crashes), maxCrashes)
	require.LessOrEqual(t, len(d.listed), maxListed)
	s := d.Handle(now, nil)
	require.LessOrEqual(t, len(s.Suspects), maxSuspects)
	e := &Evidence{}
	for i := range 10_000 {
		e.RecordAnswer(now, []Content{PromptPart(fmt.Sprint(i), 1)})
		e.RecordCrash(now, "s", fleet.Incarnation(i), []Content{first})
		e.RecordCrash(now, "s", 0, []Content{PromptPart(fmt.Sprint(i), 2)})
	}
	require.LessOrEqual(t, len(e.answered.newer)+len(e.answered.older), maxAnswered)
	require.Len(t, e.crashes, maxOwnCrashes)
}

// Guards against hosts that wait seconds for their next report until they hear of a listing, and against ones that are answered at
// once again and again although they have it.
func TestListingIsFollowed(t *testing.T) {
	d := newDeployment(t, 4)
	late := &Evidence{}
	require.Nil(t, d.detector.Listings(d.now, late.Followed()))
	d.listDeadly()
	follow := func(e *Evidence) bool {
		s := d.detector.Listings(d.now, e.Followed())
		if s == nil {
			return false
		}
		e.Apply(d.now, d.now, nil, s)
		return true
	}
	require.True(t, follow(late))
	_, listed := late.Listed(d.now, []Content{deadly})
	require.True(t, listed)
	require.False(t, follow(late))

	d.changeLeader()
	require.False(t, follow(late), "the new leader knows of nothing")
	d.reportOf(d.hosts[0])
	d.reportOf(d.hosts[0])
	require.True(t, follow(late))
	require.False(t, follow(late), "it has to tell the leader first")
	_, listed = late.Listed(d.now, []Content{deadly})
	require.True(t, listed)
	d.reportOf(late)
	require.False(t, follow(late))
}
