// An idle Node.js process, the baseline for the memory of the other processes.
setInterval(() => undefined, 60_000);
