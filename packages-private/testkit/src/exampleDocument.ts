/** Text of the configuration document of the demo and of tests. */
export const exampleDocument = `schema = 1

[shards.s1]
dataCentre = "dc1"

[teams.planning]
share = 2
limit = { processors = 40, memoryMb = 120000, accelerators = 8 }

[teams.broadcast]
share = 1

[teams.public]
share = 1

[queues.services]
kind = "service"
idempotent = true

[queues.renders]
kind = "batch"
idempotent = true

[queues.rosters]
kind = "batch"
idempotent = false

[queues.gangs]
kind = "gang"
idempotent = true

[queues.open]
kind = "batch"
open = true
team = "public"
idempotent = true

[workers.standard]
room = { processors = 16, memoryMb = 32768, accelerators = 0 }
`;
