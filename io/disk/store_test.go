package disk

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"toucanway/core/fleet"
	"toucanway/core/raft"
)

var errInjected = errors.New("injected")

// fakeFS keeps files in memory, fails all changes from the failAt-th one on, or failFor of them if that is set, and loses unsynced data at a
// crash. syncedFiles holds the files by their synced names, which survive a crash.
type fakeFS struct {
	files, syncedFiles           map[string]*fakeFile
	changeCount, failAt, failFor int
}

type fakeFile struct {
	fs     *fakeFS
	data   []byte
	synced int
}

func newFakeFS() *fakeFS {
	return &fakeFS{files: map[string]*fakeFile{}, syncedFiles: map[string]*fakeFile{}}
}

func (f *fakeFS) countChange() error {
	f.changeCount++
	if f.failAt > 0 && f.changeCount >= f.failAt && (f.failFor == 0 || f.changeCount < f.failAt+f.failFor) {
		return errInjected
	}
	return nil
}

// crash drops the unsynced names if namesLost is set, and keeps the fraction kept of the unsynced bytes of each file.
func (f *fakeFS) crash(namesLost bool, kept float64) {
	if namesLost {
		f.files = maps.Clone(f.syncedFiles)
	}
	for _, file := range f.files {
		unsynced := float64(max(len(file.data)-file.synced, 0))
		file.data = file.data[:min(len(file.data), file.synced)+int(unsynced*kept)]
		file.synced = len(file.data)
	}
	f.syncedFiles, f.changeCount, f.failAt = maps.Clone(f.files), 0, 0
}

// clone returns a copy of the file system and all files.
func (f *fakeFS) clone() *fakeFS {
	out := newFakeFS()
	copies := map[*fakeFile]*fakeFile{}
	copyOf := func(file *fakeFile) *fakeFile {
		if copies[file] == nil {
			copies[file] = &fakeFile{fs: out, data: slices.Clone(file.data), synced: file.synced}
		}
		return copies[file]
	}
	for n, file := range f.files {
		out.files[n] = copyOf(file)
	}
	for n, file := range f.syncedFiles {
		out.syncedFiles[n] = copyOf(file)
	}
	return out
}

func (f *fakeFS) MkdirAll(string) error { return nil }

func (f *fakeFS) ReadDir(string) ([]string, error) {
	var names []string
	for n := range f.files {
		names = append(names, filepath.Base(n))
	}
	slices.Sort(names)
	return names, nil
}

func (f *fakeFS) ReadFile(name string) ([]byte, error) { return slices.Clone(f.files[name].data), nil }

func (f *fakeFS) Create(name string) (File, error) {
	if err := f.countChange(); err != nil {
		return nil, err
	}
	f.files[name] = &fakeFile{fs: f}
	return f.files[name], nil
}

func (f *fakeFS) Append(name string) (File, error) { return f.files[name], nil }

func (f *fakeFS) Rename(from, to string) error {
	if err := f.countChange(); err != nil {
		return err
	}
	f.files[to] = f.files[from]
	delete(f.files, from)
	return nil
}

func (f *fakeFS) Remove(name string) error {
	if err := f.countChange(); err != nil {
		return err
	}
	delete(f.files, name)
	return nil
}

func (f *fakeFS) SyncDir(string) error {
	if err := f.countChange(); err != nil {
		return err
	}
	f.syncedFiles = maps.Clone(f.files)
	return nil
}

func (f *fakeFS) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

func (f *fakeFile) Write(b []byte) (int, error) {
	err := f.fs.countChange()
	if err != nil {
		b = b[:len(b)/2]
	}
	f.data = append(f.data, b...)
	return len(b), err
}

func (f *fakeFile) Sync() error {
	if err := f.fs.countChange(); err != nil {
		return err
	}
	f.synced = len(f.data)
	return nil
}

func (f *fakeFile) Close() error { return nil }

// storage is the common interface of Store and Memory, so that Memory can be used as the reference.
type storage interface {
	Load() (raft.PersistedState, error)
	Save(*raft.HardState, []raft.Entry) error
	Install(raft.Snapshot) error
	Compact(raft.Snapshot, fleet.Index) error
}

func openStore(fs FS) (*Store, error) {
	return Open(Settings{Dir: "d", NewStorageID: 7, SegmentSize: 150, FS: fs})
}

func entries(from, to fleet.Index, term raft.Term) []raft.Entry {
	var es []raft.Entry
	for i := from; i <= to; i++ {
		es = append(es, raft.Entry{Index: i, Term: term, Data: fmt.Appendf(nil, "entry %d of term %d", i, term)})
	}
	return es
}

// storeSteps is a sequence of operations on a store: growth over several segments, overwritten entries, own and received
// snapshots.
var storeSteps = []func(storage) error{
	func(s storage) error { return s.Save(&raft.HardState{Term: 1, Vote: "a"}, entries(1, 4, 1)) },
	func(s storage) error { return s.Save(nil, entries(5, 9, 1)) },
	func(s storage) error { return s.Save(nil, entries(10, 10, 1)) },
	func(s storage) error { return s.Save(&raft.HardState{Term: 2}, entries(7, 8, 2)) },
	func(s storage) error { return s.Compact(raft.Snapshot{Index: 6, Term: 1, Data: []byte("six")}, 4) },
	func(s storage) error { return s.Save(nil, entries(9, 20, 2)) },
	func(s storage) error { return s.Save(nil, entries(21, 21, 2)) },
	func(s storage) error { return s.Compact(raft.Snapshot{Index: 20, Term: 2, Data: []byte("twenty")}, 20) },
	func(s storage) error { return s.Install(raft.Snapshot{Index: 21, Term: 3, Data: []byte("other")}) },
	func(s storage) error { return s.Save(&raft.HardState{Term: 3, Admitted: true}, entries(22, 24, 3)) },
	func(s storage) error { return s.Install(raft.Snapshot{Index: 40, Term: 4, Data: []byte("forty")}) },
	func(s storage) error { return s.Save(nil, entries(41, 43, 4)) },
}

// loadContent returns the state in a storage, without the entries that its snapshot covers.
func loadContent(t *testing.T, s storage) raft.PersistedState {
	saved, err := s.Load()
	require.NoError(t, err)
	saved.Entries = slices.DeleteFunc(saved.Entries, func(e raft.Entry) bool { return e.Index <= saved.Snapshot.Index })
	if len(saved.Entries) == 0 {
		saved.Entries = nil
	}
	return saved
}

// Guards against a crash, full disk or failed sync at any file operation that loses acknowledged data, mixes old and new
// data, or leaves a directory that can't be opened.
func TestCrashAtEachStep(t *testing.T) {
	for failAt, done := 1, false; !done; failAt++ {
		for _, namesLost := range []bool{true, false} {
			for _, kept := range []float64{0, 0.5, 1} {
				fs, reference := newFakeFS(), NewMemory(7)
				fs.failAt = failAt
				s, err := openStore(fs)
				before, step := loadContent(t, reference), 0
				for ; err == nil && step < len(storeSteps); step++ {
					before = loadContent(t, reference)
					require.NoError(t, storeSteps[step](reference))
					if err = storeSteps[step](s); err != nil {
						require.Error(t, s.Save(nil, entries(99, 99, 9)), "a store accepts writes after a failure")
					}
				}
				done = err == nil
				if err != nil {
					require.True(t, errorx.IsOfType(err, ErrFailed), "%v", err)
				} else {
					before = loadContent(t, reference)
				}
				fs.crash(namesLost, kept)
				s, err = openStore(fs)
				require.NoError(t, err, "fail at %d, names lost %v, kept %v", failAt, namesLost, kept)
				got := loadContent(t, s)
				require.Contains(t, allowedStates(before, loadContent(t, reference)), got,
					"fail at %d in step %d, names lost %v, kept %v", failAt, step, namesLost, kept)
				next := got.Snapshot.Index + fleet.Index(len(got.Entries)) + 1
				require.NoError(t, s.Save(nil, entries(next, next, 9)))
				s, err = openStore(fs)
				require.NoError(t, err)
				require.Equal(t, append(got.Entries, entries(next, next, 9)...), loadContent(t, s).Entries)
			}
		}
	}
}

// allowedStates returns the states that may remain after a crash during the step from before to after.
func allowedStates(before, after raft.PersistedState) []raft.PersistedState {
	return []raft.PersistedState{before, after}
}

// Guards against damage before the last frame that is mistaken for a torn last frame, with which acknowledged entries would
// be lost.
func TestDamagedFiles(t *testing.T) {
	for name, c := range map[string]struct {
		damage func(fs *fakeFS, segments []string)
		want   string // part of the error; empty if the torn frame is removed and the store opens
	}{
		"torn last frame":               {func(fs *fakeFS, n []string) { f := fs.files[n[len(n)-1]]; f.data = f.data[:len(f.data)-3] }, ""},
		"zeros after the last frame":    {func(fs *fakeFS, n []string) { f := fs.files[n[len(n)-1]]; f.data = append(f.data, make([]byte, 64)...) }, ""},
		"flipped bit":                   {func(fs *fakeFS, n []string) { fs.files[n[0]].data[40] ^= 1 }, "is damaged"},
		"flipped bit in a length":       {func(fs *fakeFS, n []string) { fs.files[n[len(n)-1]].data[5] ^= 0x40 }, "is damaged"},
		"missing segment":               {func(fs *fakeFS, n []string) { delete(fs.files, n[1]) }, "is missing"},
		"missing first segments":        {func(fs *fakeFS, n []string) { delete(fs.files, n[0]); delete(fs.files, n[1]) }, "are missing"},
		"missing file of the StorageID": {func(fs *fakeFS, n []string) { delete(fs.files, "d/id") }, "is missing"},
		"flipped bit in a snapshot":     {func(fs *fakeFS, n []string) { fs.files["d/"+snapshotName(6)].data[20] ^= 1 }, "checksum"},
	} {
		t.Run(name, func(t *testing.T) {
			fs := newFakeFS()
			s, err := openStore(fs)
			require.NoError(t, err)
			for _, step := range storeSteps[:7] {
				require.NoError(t, step(s))
			}
			var segments []string
			for n := range fs.files {
				if strings.HasPrefix(n, "d/wal-") {
					segments = append(segments, n)
				}
			}
			slices.Sort(segments)
			c.damage(fs, segments)
			_, err = openStore(fs)
			if c.want == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorContains(t, err, c.want)
			require.ErrorContains(t, err, "add it as a learner", "the message says how to recover")
		})
	}
}

// Guards against two processes that write to one directory, and covers the FS of the operating system.
func TestOperatingSystemFS(t *testing.T) {
	cfg := Settings{Dir: filepath.Join(t.TempDir(), "x", "y"), SegmentSize: 150}
	s, err := Open(cfg)
	require.NoError(t, err)
	_, err = Open(cfg)
	require.ErrorContains(t, err, "in use")
	for _, step := range storeSteps {
		require.NoError(t, step(s))
	}
	require.NoError(t, s.Close())
	s, err = Open(cfg)
	require.NoError(t, err)
	got := loadContent(t, s)
	require.Equal(t, entries(41, 43, 4), got.Entries)
	require.NotZero(t, got.Storage)
	require.NoError(t, s.Close())
}
