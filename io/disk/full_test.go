package disk

import (
	"reflect"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"
)

// Guards against a disk that is full for a while at any file operation, after which the process can't write again without a restart, or counts
// data as durable that a later loss of power takes.
func TestDiskFullForAWhile(t *testing.T) {
	for failAt, done := 1, false; !done; failAt++ {
		for _, failFor := range []int{1, 2, 3, 5, 8} {
			fs, reference := newFakeFS(), NewMemory(7)
			fs.failAt, fs.failFor = failAt, failFor
			s, err := reopen(t, fs)
			require.NoError(t, err)
			for step, do := range storeSteps {
				before := loadContent(t, reference)
				require.NoError(t, do(reference))
				after := loadContent(t, reference)
				if err = do(s); err == nil {
					continue
				}
				require.True(t, errorx.IsOfType(err, ErrFailed), "%v", err)
				s, err = reopen(t, fs)
				require.NoError(t, err)
				got := loadContent(t, s)
				require.Contains(t, allowedStates(before, after), got, "fail at %d for %d in step %d", failAt, failFor, step)
				// The host tells others that it has what it has read, so that it must outlast a loss of power from now on.
				lost := fs.clone()
				lost.crash(true, 0)
				restarted, err := openStore(lost)
				require.NoError(t, err, "fail at %d for %d in step %d", failAt, failFor, step)
				require.Equal(t, got, loadContent(t, restarted), "fail at %d for %d in step %d", failAt, failFor, step)
				if !reflect.DeepEqual(got, after) {
					require.NoError(t, do(s))
				}
			}
			done = fs.changeCount < failAt
			fs.crash(true, 0)
			s, err = openStore(fs)
			require.NoError(t, err, "fail at %d for %d", failAt, failFor)
			require.Equal(t, loadContent(t, reference), loadContent(t, s), "fail at %d for %d", failAt, failFor)
		}
	}
}

// reopen opens a store as often as it takes until the disk has room, as a host does.
func reopen(t *testing.T, fs FS) (*Store, error) {
	for range 20 {
		s, err := openStore(fs)
		if err == nil {
			return s, nil
		}
		require.True(t, errorx.IsOfType(err, ErrFailed), "%v", err)
	}
	return openStore(fs)
}
