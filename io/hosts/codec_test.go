package hosts

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against hosts that no longer understand each other because a caller or a backend server has sent a name that is not valid UTF-8.
func TestCodecTakesAnyText(t *testing.T) {
	type message struct {
		Names map[string]string `cbor:"1,keyasint"`
	}
	in := message{map[string]string{"a\xff\xfe": "\xc3\x28"}}
	data, err := cborCodec{}.Marshal(&in)
	require.NoError(t, err)
	var out message
	require.NoError(t, cborCodec{}.Unmarshal(data, &out))
	require.Equal(t, in, out)
}
