package controlscenario

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"toucanway/platform/standin"
)

// Guards against a first configuration of version 0 that is acknowledged and then neither read back nor in force.
func TestFirstConfigurationOfVersionZero(t *testing.T) {
	startServerDate()
	synctest.Test(t, func(t *testing.T) {
		w := newWithParser(t, numbersDialect{})
		defer func() {
			_, err := w.close()
			require.NoError(t, err)
		}()
		_, gateways, stop := startGatewaysWith(t, w, 0, 2, numbersDialect{})
		defer stop()
		s := startServer(t, w, 1, time.Millisecond)
		defer s.close()
		configuration := func(version int) []byte {
			return fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r","host":%q,"%s":"/v%d/","kind":"safe","timeout_ms":1000,"service":%q}],"services":[{"name":%q}]}`,
				version, standin.Host, standin.PrefixField, version, standin.PlainService, standin.PlainService)
		}
		_, err := w.hosts[0].control.Read(context.Background())
		require.Error(t, err, "there is no configuration yet")
		for version := range 2 {
			data := configuration(version)
			require.NoError(t, submitUntilClear(w, data))
			require.NoError(t, submitUntilClear(w, data), "sent again")
			time.Sleep(1200 * time.Millisecond)
			for _, h := range w.hosts {
				got, err := h.control.Read(context.Background())
				require.NoError(t, err)
				require.Equal(t, string(data), string(got))
			}
			for _, g := range gateways {
				c, err := w.net.Host("10.1.7.1").Dial(t.Context(), g)
				require.NoError(t, err)
				res, err := requestOn(c, fmt.Sprintf("GET /v%d/x HTTP/1.1\r\nHost: %s\r\nId: 1\r\n\r\n", version, standin.Host))
				require.NoError(t, err)
				require.Equal(t, 200, res.StatusCode(), "%s", res.Body())
				c.Close()
			}
		}
	})
}
