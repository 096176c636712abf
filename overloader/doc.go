// Package overloader contains no code. Its tests start host processes and overload them with
// callers and targets that send or hold more than they may, and check that the process lives,
// that its resident memory and its open descriptors stay bounded, and that an ordinary request
// is answered afterwards. They check no times, so that a slow machine does not fail them.
//
// The tests run one at a time, and test.sh runs no other package of its second group beside
// them.
package overloader
