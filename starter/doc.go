// Package starter builds an entry host on the platform and runs it: it joins the
// parts, opens the ports, follows the store's tables, and ends in order.
//
// On SIGTERM a host reports itself not ready and goes on serving until the
// platform has looked twice, asks callers to close kept connections, finishes what
// runs, writes what is open to the store, and exits. On SIGHUP, or when the
// settings file has changed, it reads its settings again and cuts nothing.
package starter
