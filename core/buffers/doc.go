// Package buffers bounds the memory of messages that a process holds until they are complete, over all connections and in both
// directions. Where the bound is exceeded, the largest message is given up, since that one is most likely to have no end.
//
// A Budget is shared by all messages; each has an Account. Both are safe for concurrent use.
package buffers
