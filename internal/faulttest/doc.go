// Package faulttest starts real controller processes on loopback against stand-ins for what
// surrounds them: the key-value store of package kvtest, a cloud, agents in zones and users.
// Tests of failures of a whole deployment use it. The stand-ins implement only what such a
// test needs of each protocol.
package faulttest
