// Package disk keeps a raft group's log and snapshots in one directory.
//
// A directory holds the file id with the random number of the folder, segments wal-N.log in order of N, and one
// snapshot-INDEX. A segment is a sequence of frames: 4 bytes magic, 4 bytes length, 8 bytes xxhash64 of the folder's
// number, the segment's number, the frame's offset and the payload, then the payload in CBOR. Each Save is one frame and
// one fsync, however many entries it holds, so that only the last frame of the last segment can be torn by a crash.
//
// After a failed write or sync the store refuses everything, since the kernel may have dropped the data that it could
// not write; the process has to be started again.
package disk
