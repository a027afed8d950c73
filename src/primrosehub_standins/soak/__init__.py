"""Run hub daemons as processes under drawn trouble and check the users' rules."""
