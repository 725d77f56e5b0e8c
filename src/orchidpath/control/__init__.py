"""Control process: runs a Raft replica, its fleet connections and the operators' HTTP API."""
