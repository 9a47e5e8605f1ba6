package hosts

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucanway/core/capacity"
	"toucanway/core/raft"
)

// Guards against messages from other hosts that make the decoder panic or decode to a value that can't be encoded again.
func FuzzMessages(f *testing.F) {
	for _, m := range []any{
		&StepRequest{Group: 1, Messages: []raft.Message{{}}}, &ProposeRequest{Group: 1, Data: []byte("x")},
		&FollowRequest{Host: "a"}, &FollowResponse{}, &capacity.Acquire{Backend: "e"}, &ReleaseRequest{},
	} {
		data, err := cborCodec{}.Marshal(m)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, m := range []any{
			&StepRequest{}, &ProposeRequest{}, &FollowRequest{}, &FollowResponse{}, &capacity.Acquire{}, &ReleaseRequest{},
		} {
			if (cborCodec{}).Unmarshal(data, m) == nil {
				_, err := cborCodec{}.Marshal(m)
				require.NoError(t, err)
			}
		}
	})
}
