package engines

import (
	"bufio"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"toucanway/core/fleet"
)

// noopRegistry is a registry that drops what backend servers post.
type noopRegistry struct{}

func (noopRegistry) Announce(fleet.Announcement) error              { return nil }
func (noopRegistry) Leave(fleet.BackendID, fleet.Incarnation) error { return nil }
func (noopRegistry) Report(fleet.LoadReport)                        {}
func (noopRegistry) Events([]fleet.CacheEvent)                      {}

// Guards against posts of backend servers that make the host panic, and against accepted announcements with invalid fields.
func FuzzBackendHandler(f *testing.F) {
	f.Add("announce", `{"id":"e1","incarnation":1,"kind":"engine","address":"127.0.0.1:9","place":{"region":"west","data-centre":"w1"},"memory":1024,"slots":2}`)
	f.Add("announce", `{"id":"s1","incarnation":1,"kind":"service","address":"127.0.0.1:9","place":{"region":"west","data-centre":"w1"},"slots":1,"services":["orders"]}`)
	f.Add("leave", `{"id":"e1","incarnation":1}`)
	f.Add("report", `{"backend":"e1","sequence":1}`)
	f.Add("events", `[{"backend":"e1","sequence":1}]`)
	f.Add("events", `null`)
	f.Fuzz(func(t *testing.T, path, body string) {
		var ctx fasthttp.RequestCtx
		ctx.Request.Header.SetMethod(fasthttp.MethodPost)
		ctx.Request.SetRequestURI("/")
		ctx.URI().SetPath(pathPrefix + path)
		ctx.Request.SetBodyString(body)
		BackendHandler{Registry: noopRegistry{}}.Serve(&ctx)
		a, err := DecodeAnnouncement([]byte(body))
		if err == nil {
			require.NotEmpty(t, a.ID)
			require.NotZero(t, a.Incarnation)
			require.Positive(t, a.Slots)
		}
	})
}

// Guards against streams of engines that make the host panic, that never end, or that skip tokens.
func FuzzStream(f *testing.F) {
	f.Add("data: {\"id\":\"r\",\"token_index\":0,\"choices\":[{\"text\":\"a\"}]}\n\ndata: [DONE]\n\n")
	f.Add(": comment\r\ndata: {\"id\":\"r\",\"choices\":[{\"delta\":{\"content\":\"a\"},\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":1}}\n")
	f.Add("data: {\"id\":\"other\"}\n")
	f.Add("data: null\n")
	f.Fuzz(func(t *testing.T, text string) {
		s := &Stream{r: bufio.NewReaderSize(strings.NewReader(text), maxEventBytes), request: "r"}
		next := 0
		for events := 0; ; events++ {
			require.LessOrEqual(t, events, len(text))
			token, err := s.Next()
			if err != nil {
				return
			}
			require.Equal(t, next, token.Index)
			next = s.nextIndex
		}
	})
}
