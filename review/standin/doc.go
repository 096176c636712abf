// Command standin plays the cases of the review that cannot be put as a day of the bench.
//
// It starts entry hosts as processes of their own, with the command of deploy/system.toml
// and settings made from deploy/entry.ini, on loopback addresses. The platform's store, the
// runners and the clients run in this process and behave as the users' pages say. It exits
// with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main
