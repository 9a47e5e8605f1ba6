package crashes

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucanway/core/fleet"
)

// Content identifies content that requests may have in common.
type Content struct {
	// ID is the hash of the content.
	ID fleet.Fingerprint `cbor:"1,keyasint"`
	// Depth is larger for content that fewer requests share: the position of a part in the prompt, or wholeRequestDepth.
	Depth uint8 `cbor:"2,keyasint"`
}

// String returns the content's position in the prompt, or "request" for a whole request, and its hash, as in "2:00c3a5f1d2e4b607".
func (c Content) String() string {
	position := strconv.Itoa(int(c.Depth))
	if c.Depth == wholeRequestDepth {
		position = "request"
	}
	return fmt.Sprintf("%s:%016x", position, uint64(c.ID))
}

const wholeRequestDepth = math.MaxUint8

// PromptPart returns the content of a part of a prompt, given its id and its position.
func PromptPart(id string, position int) Content {
	return Content{ID: fleet.Fingerprint(xxhash.Sum64String(id)), Depth: uint8(min(position, wholeRequestDepth-1))}
}

// WholeRequest returns the content of a complete request, which a repetition has in common with it.
func WholeRequest(method, uri, credential, body []byte) Content {
	d := xxhash.New()
	for _, part := range [...][]byte{method, uri, credential, body} {
		// The separator tells apart requests that divide the same bytes differently; only the last part may contain it.
		_, _ = d.Write(part)
		_, _ = d.Write([]byte{0})
	}
	return Content{ID: fleet.Fingerprint(d.Sum64()), Depth: wholeRequestDepth}
}

// Crash is what one entry host knows of the crash of one incarnation of a backend server.
type Crash struct {
	Instance    fleet.BackendID   `cbor:"1,keyasint"`
	Incarnation fleet.Incarnation `cbor:"2,keyasint"`
	// Age is the time since the crash.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
	// Contents holds the contents of the requests that the host had in flight there.
	Contents []Content `cbor:"4,keyasint"`
	// Requests holds the indexes of each request's contents in Contents. Without any, one request had all contents.
	Requests [][]uint16 `cbor:"5,keyasint,omitempty"`
}

// requests returns the contents of each request.
func (c *Crash) requests() [][]Content {
	if len(c.Requests) == 0 {
		return [][]Content{c.Contents}
	}
	out := make([][]Content, len(c.Requests))
	for i, list := range c.Requests {
		for _, j := range list {
			if int(j) < len(c.Contents) {
				out[i] = append(out[i], c.Contents[j])
			}
		}
	}
	return out
}

// Answer tells that a request with a suspected or listed content was answered completely.
type Answer struct {
	ID fleet.Fingerprint `cbor:"1,keyasint"`
	// Age is the time since the end of the answer.
	Age time.Duration `cbor:"2,keyasint,omitempty"`
}

// Suspect is a content that may crash servers; its requests still run.
type Suspect struct {
	ID fleet.Fingerprint `cbor:"1,keyasint"`
	// Age is the time since the first of the crashes; a later answer clears the content, and an earlier one speaks for it.
	Age time.Duration `cbor:"2,keyasint"`
}

// Listing is a content whose requests are refused if they have all of Others, too.
type Listing struct {
	Content Content `cbor:"1,keyasint"`
	// Others holds the contents that evidence doesn't tell apart from Content.
	Others []Content `cbor:"3,keyasint,omitempty"`
	// Left is the time until a request may be tried again; it may have passed.
	Left time.Duration `cbor:"2,keyasint"`
}

// Revision identifies a state of the leader's detector; revisions of different terms can't be compared.
type Revision struct {
	Term uint64 `cbor:"1,keyasint,omitempty"`
	N    uint64 `cbor:"2,keyasint,omitempty"`
}

// Report is what an entry host tells the leader.
type Report struct {
	// Known is the state of the leader that the host has.
	Known   Revision `cbor:"1,keyasint,omitempty"`
	Crashes []Crash  `cbor:"2,keyasint,omitempty"`
	Answers []Answer `cbor:"3,keyasint,omitempty"`
	// Listed holds the listings that the host has from an earlier leader.
	Listed []Listing `cbor:"4,keyasint,omitempty"`
	// Refused holds the listed contents that are due for a trial and of which the host has refused requests.
	Refused []fleet.Fingerprint `cbor:"5,keyasint,omitempty"`
}

// State is what the leader tells entry hosts; it replaces what they had from the same term.
type State struct {
	Revision Revision  `cbor:"1,keyasint"`
	Suspects []Suspect `cbor:"2,keyasint,omitempty"`
	Listed   []Listing `cbor:"3,keyasint,omitempty"`
	// Trials holds the listed contents of which this host may send one request to a server.
	Trials []fleet.Fingerprint `cbor:"4,keyasint,omitempty"`
}
