import { spawn } from "node:child_process";
import { createWriteStream, mkdirSync, mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request as sendRequest } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import path from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { StoreStandin } from "./storeStandin.mjs";

const ROOT = fileURLToPath(new URL("../../", import.meta.url));
/** Port on which gateways take clients' requests. */
export const FRONT_PORT = 8144;
const READY_PORT = 8140;
const CONTROL_PORT = 8146;
const ZONES = ["z-a", "z-b", "z-c"];

/** Bounds and tolerance of the site `caroni-alloc` (SYSTEM.md and DEPLOY.md). */
const BOUNDS = `[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4.6
drainMs = 2000
graceS = 8
lossSlackMs = 200
configMs = 2000
downgradeSlackMs = 250
maxSkewMs = 5000
recoverS = 12
passMs = 120
retryAfterS = 0
finishS = 18
statusS = 120
cancelMs = 3000
settleMs = 1000
quotaOver = 0.1
`;

/** A machine with the one program that runs on it. */
export class Machine {
    #child;
    #opts;
    #settingsFile;

    constructor(opts) {
        this.#opts = opts;
        this.name = opts.name;
        this.host = opts.host;
        this.role = opts.role;
        this.dataDir = path.join(opts.folder, "data");
        mkdirSync(this.dataDir, { recursive: true });
        this.#settingsFile = path.join(opts.folder, "boot.toml");
    }

    get isRunning() {
        return this.#child !== undefined;
    }

    get pid() {
        return this.#child?.pid;
    }

    /** Starts the program with the command of the deploy file. */
    start() {
        writeFileSync(this.#settingsFile, this.#settings());
        const [command, ...args] = this.#opts.command;
        const child = spawn(command, args, {
            cwd: ROOT,
            env: { PATH: process.env.PATH, KNAPWEEDWOOD_BOOT: this.#settingsFile },
            stdio: ["ignore", "pipe", "pipe"],
        });
        const log = createWriteStream(path.join(this.#opts.folder, "output.log"), { flags: "a" });
        child.stdout.pipe(log, { end: false });
        child.stderr.pipe(log, { end: false });
        child.on("exit", (code, signal) => {
            this.#opts.record.add(`${this.name} (pid ${child.pid}) ended: ${code ?? signal}`);
            if (this.#child === child) {
                this.#child = undefined;
            }
        });
        this.#child = child;
        this.#opts.record.add(`${this.name} started (pid ${child.pid})`);
    }

    /** Sends a signal to the process and resolves when it has ended, if the signal ends it. */
    signal(name) {
        this.#opts.record.add(`${name} to ${this.name} (pid ${this.pid})`);
        this.#child?.kill(name);
    }

    /** Ends the process at once, as a loss of power does. */
    async kill() {
        const child = this.#child;
        if (child !== undefined) {
            const ended = new Promise(resolve => child.once("exit", resolve));
            this.signal("SIGKILL");
            await ended;
        }
    }

    /** Empties the disk. The process must not be running. */
    wipeDisk() {
        rmSync(this.dataDir, { recursive: true, force: true });
        mkdirSync(this.dataDir);
        this.#opts.record.add(`${this.name} has lost its disk`);
    }

    /** Returns the number of files with held jobs on the disk. */
    get heldJobFiles() {
        try {
            return readdirSync(path.join(this.dataDir, "segments"), { recursive: true, withFileTypes: true })
                .filter(entry => entry.isFile() && !entry.name.endsWith(".partial"))
                .length;
        }
        catch {
            return 0;
        }
    }

    /** Returns the log lines of the process with one of these events, parsed. */
    events(...names) {
        return readFileSync(path.join(this.#opts.folder, "output.log"), "utf8")
            .split("\n")
            .filter(line => line.startsWith("{"))
            .map(line => JSON.parse(line))
            .filter(line => names.includes(line.event));
    }

    #settings() {
        const { name, host, role, zone, seeds, storeAddress, isBootstrap } = this.#opts;
        const isFront = role === "gateway";
        return `nodeName = "${name}"
role = "${role}"
machineClass = "${isFront ? "front" : "storage"}"
serves = [${isFront ? `"front"` : `"storage","control"`}]
ip = "${host}"
zone = "${zone}"
region = "r"
portRange = [7660,7675]
seeds = [${seeds.map(seed => `"${seed}:${CONTROL_PORT}"`).join(",")}]
bootstrap = ${isBootstrap}
inTolerance = ${!isFront}
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1200
${isFront ? "" : `dataDir = "${this.dataDir}"`}
[zones]
${ZONES.map(one => `${one} = "r"`).join("\n")}
[listen]
${isFront ? `front = "${host}:${FRONT_PORT}"\nready = "${host}:${READY_PORT}"` : `control = "${host}:${CONTROL_PORT}"`}
[limits]
cpuShare = 0.513
cores = 1
memoryMb = ${isFront ? 350 : 380}
maxFds = 4100
linkMbps = 1000.0
diskMb = ${isFront ? 0 : 450}
${BOUNDS}[platform]
address = "${storeAddress}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`;
    }
}

/** A small deployment: the platform's store, gateways on front machines and runners on storage machines. */
export class Deployment {
    store = new StoreStandin();
    gateways = [];
    runners = [];
    folder = mkdtempSync(path.join(tmpdir(), "review-"));
    #record;
    #subnet;
    #sent = 0;

    constructor(record) {
        this.#record = record;
    }

    /** Starts the store and all programs, and waits until the gateways are ready and a leader of the jobs is known. */
    async start({ gateways = 2, runners = 3, configuration }) {
        this.#subnet = await findFreeSubnet();
        this.store.put("op/config", configuration);
        for (let index = 0; index < runners; index += 1) {
            this.runners.push(await this.#createMachine("runner", index));
        }
        for (let index = 0; index < gateways; index += 1) {
            this.gateways.push(await this.#createMachine("gateway", index));
        }
        this.machines.forEach(machine => machine.start());
        await this.until("all gateways are ready", 20_000, async () => {
            const answers = await Promise.all(this.gateways.map(gateway => this.isReady(gateway)));
            return answers.every(isReady => isReady) && this.leader !== undefined;
        });
    }

    get machines() {
        return [...this.gateways, ...this.runners];
    }

    /** The runner that leads, by the key in the store; undefined if there is none. */
    get leader() {
        const name = this.store.value("knapweed/fleet/jobs-leader")?.instanceName;
        return this.runners.find(runner => runner.name === name);
    }

    /** Returns an address of this deployment. */
    hostOf(group, number) {
        return `127.${this.#subnet}.${group}.${number}`;
    }

    async isReady(gateway) {
        const answer = await call({ host: gateway.host, port: READY_PORT, path: "/api/ready", timeoutMs: 500 });
        return answer.statusCode === 200;
    }

    /** Sends a request to a gateway on a new connection and records it with its answer. */
    async send(gateway, opts) {
        const { method = "GET", path: target, headers = {}, body = "" } = opts;
        this.#sent += 1;
        const id = headers["x-request-id"] === undefined ? "" : ` id ${headers["x-request-id"]}`;
        const what = `#${this.#sent} ${method} ${target}${id} at ${gateway.name}`;
        this.#record.add(`sent ${what}, ${body.length} bytes`);
        const answer = await call({ host: gateway.host, port: FRONT_PORT, timeoutMs: 6000, ...opts });
        const shown = answer.statusCode === undefined
            ? answer.error
            : `${answer.statusCode} ${answer.body.slice(0, 120).replaceAll(/[^\x20-\x7e]/gu, ".")}`;
        this.#record.add(`answered ${what} -> ${shown}`);
        return answer;
    }

    /** Polls a condition until it holds. Rejects if it doesn't in time, so that the case ends as not run. */
    async until(what, timeoutMs, condition) {
        const endAtMs = Date.now() + timeoutMs;
        while (!await condition()) {
            if (Date.now() > endAtMs) {
                throw new Error(`not in time: ${what}`);
            }
            await sleep(20);
        }
        this.#record.add(what);
    }

    /** Ends all processes that were started, and removes their files. */
    async close() {
        await Promise.all(this.machines.map(machine => machine.kill()));
        this.store.close();
        if (process.env.KEEP !== "1") {
            rmSync(this.folder, { recursive: true, force: true });
        }
    }

    async #createMachine(role, index) {
        const folder = path.join(this.folder, `${role}-${index}`);
        mkdirSync(folder, { recursive: true });
        const name = `${role === "gateway" ? "front" : "storage"}-${index}`;
        return new Machine({
            name,
            role,
            host: this.hostOf(role === "gateway" ? 1 : 2, index + 1),
            zone: ZONES[index % ZONES.length],
            seeds: [1, 2, 3].map(number => this.hostOf(2, number)),
            storeAddress: await this.store.listen(this.hostOf(3, 1), name),
            isBootstrap: true,
            command: commandOf(role),
            record: this.#record,
            folder,
        });
    }
}

/** Returns the command of a role in the deploy file, split at spaces. */
function commandOf(role) {
    const text = readFileSync(path.join(ROOT, "deploy/system.toml"), "utf8");
    const section = text.split(`[roles.${role}]`)[1];
    return /^run = "(.*)"$/mu.exec(section)[1].split(" ");
}

/** Sends one request on a new connection. Resolves with the answer, or with an error. */
export function call({ host, port, method = "GET", path: target, headers = {}, body, timeoutMs }) {
    return new Promise(resolve => {
        const request = sendRequest({ host, port, method, path: target, headers, agent: false }, response => {
            let text = "";
            response.setEncoding("utf8");
            response.on("data", chunk => text += chunk);
            response.on(
                "end",
                () => resolve({ statusCode: response.statusCode, headers: response.headers, body: text }),
            );
            response.on("error", error => resolve({ error: `broken off: ${error.message}`, body: text }));
        });
        request.setTimeout(timeoutMs, () => request.destroy(new Error("no answer in time")));
        request.on("error", error => resolve({ error: error.message, body: "" }));
        request.end(body);
    });
}

/** Returns the second byte of loopback addresses on which nothing listens. */
async function findFreeSubnet() {
    for (let attempt = 0; attempt < 50; attempt += 1) {
        const subnet = 20 + Math.floor(Math.random() * 200);
        const server = createServer();
        const isFree = await new Promise(resolve => {
            server.once("error", () => resolve(false));
            server.listen(FRONT_PORT, `127.${subnet}.1.1`, () => resolve(true));
        });
        await new Promise(resolve => server.close(resolve));
        if (isFree) {
            return subnet;
        }
    }
    throw new Error("no free loopback addresses");
}
