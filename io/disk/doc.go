// Package disk stores a raft group's log and snapshots in one directory.
//
// A directory contains the file id with the random storage id of the directory, segments wal-N.log in order of N, and one
// snapshot-INDEX. A segment is a sequence of frames: 4 bytes magic, 4 bytes length, 8 bytes xxhash64 of the storage id,
// the segment's number, the frame's offset and the payload, then the payload in CBOR. Each Save is one frame and one
// fsync, however many entries it contains, so that a crash can tear only the last frame of the last segment.
//
// After a failed write or sync the store refuses all further calls, since the kernel may have dropped the data that it
// could not write. It can be opened again once the disk has room: the last segment is then written again, so that all that Load
// returns is durable.
//
// A Store is one open directory and is safe for concurrent use. Memory replaces it in tests.
package disk
