// An empty Node.js process, against which the memory of the others is measured.
setInterval(() => undefined, 60_000);
