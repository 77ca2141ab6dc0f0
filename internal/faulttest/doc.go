// Package faulttest tests how a whole deployment handles failures. It starts real controller
// processes on loopback against fakes of the systems around them: the key-value store of package
// kvtest, a cloud, the workers in its zones, and users. Each fake implements only the part of its
// protocol that these tests need.
package faulttest
