// Starts the project's programs as separate processes, with the commands of the deploy file, on loopback addresses.
import { spawn } from "node:child_process";
import {
    appendFileSync,
    createWriteStream,
    mkdirSync,
    mkdtempSync,
    readFileSync,
    rmSync,
    writeFileSync,
} from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import path from "node:path";
import { clearTimeout, setTimeout } from "node:timers";
import { call } from "./client.mjs";
import { pause } from "./replica.mjs";
import { Store } from "./store.mjs";

const root = path.resolve(import.meta.dirname, "../..");
const FRONT_PORT = 8144;
const READY_PORT = 8140;
const CONTROL_PORT = 8146;
/** Time after which a case is given up. */
const MAX_CASE_MS = 115_000;
const PORT_RANGE = [7660, 7675];
const ZONES = ["z-a", "z-b", "z-c"];
export const BOUNDS = { contactMs: 3000, drainMs: 2000, graceS: 8, settleMs: 1000, cancelMs: 3000, statusS: 120 };

/** A small deployment: gateways, runners, the store and replicas. */
export class Deployment {
    store = new Store();
    gateways = [];
    runners = [];
    replicas = [];
    folder = mkdtempSync(path.join(tmpdir(), "review-"));
    subnet = 0;
    #startedAtMs = Date.now();
    #recordFile;

    /** @param recordFile where `record` writes */
    constructor(recordFile) {
        this.#recordFile = recordFile;
        writeFileSync(recordFile, "");
    }

    /** Milliseconds since the start of the case. */
    get nowMs() {
        return Date.now() - this.#startedAtMs;
    }

    record(text) {
        const line = `${(this.nowMs / 1000).toFixed(3)} ${text}`;
        appendFileSync(this.#recordFile, `${line}\n`);
        console.log(line);
    }

    hostOf(group, number) {
        return `127.${this.subnet}.${group}.${number}`;
    }

    /** Starts the store and all processes, and waits until the gateways report themselves ready. */
    async start(opts) {
        this.subnet = await findFreeSubnet();
        this.store.put("op/config", opts.manifest);
        for (let index = 0; index < opts.replicas.length; index += 1) {
            const replica = opts.replicas[index](this.store);
            await replica.start(this.hostOf(3, index + 1));
            this.replicas.push(replica);
        }
        const seeds = [1, 2, 3].map(number => `${this.hostOf(2, number)}:${CONTROL_PORT}`);
        for (let index = 0; index < opts.gateways; index += 1) {
            this.gateways.push(await this.#createMember("gateway", index, seeds));
        }
        for (let index = 0; index < opts.runners; index += 1) {
            this.runners.push(await this.#createMember("runner", index, seeds));
        }
        [...this.gateways, ...this.runners].forEach(member => member.start());
        await this.waitUntil("all gateways are ready", async () => {
            const statuses = await Promise.all(this.gateways.map(member => member.readiness()));
            return statuses.every(status => status === 200);
        }, 15_000);
        await this.waitUntil("there is a leader", () => this.leader() !== undefined, 10_000);
        this.record(`ready: ${opts.gateways} gateways, ${opts.runners} runners, leader ${this.leader().name}`);
    }

    /** The runner that holds the leader's key in the store. */
    leader() {
        const text = this.store.read("knapweed/fleet/jobs-leader");
        return this.runners.find(runner => text?.includes(`"${runner.name}"`) || text?.includes(runner.name));
    }

    async waitUntil(what, test, maxMs) {
        const endAtMs = this.nowMs + maxMs;
        while (!await test()) {
            if (this.nowMs > endAtMs) {
                throw new Error(`Not reached in ${maxMs} ms: ${what}`);
            }
            await pause(20);
        }
    }

    /** Ends all processes and writes the record. */
    async close() {
        await Promise.all([...this.gateways, ...this.runners].map(member => member.kill()));
        this.replicas.forEach(replica => replica.exit());
        this.store.close();
        this.#removeFolder();
    }

    /** Kills the processes that are left, as this one ends. */
    killNow() {
        [...this.gateways, ...this.runners].forEach(member => member.killNow());
        this.#removeFolder();
    }

    #removeFolder() {
        if (process.env.KEEP !== "1") {
            rmSync(this.folder, { recursive: true, force: true });
        }
    }

    async #createMember(program, index, seeds) {
        const host = this.hostOf(program === "gateway" ? 1 : 2, index + 1);
        const name = `${program === "gateway" ? "front" : "store"}-${ZONES[index % 3]}-${index + 1}`;
        const port = await this.store.listen(this.hostOf(4, 1), name);
        const folder = path.join(this.folder, name);
        return new Member({
            program,
            name,
            host,
            folder,
            zone: ZONES[index % 3],
            seeds,
            storeAddress: `${this.hostOf(4, 1)}:${port}`,
            record: text => this.record(text),
        });
    }
}

/** One process of the system. It is started again if it ends by itself. */
class Member {
    name;
    host;
    exits = 0;
    #opts;
    #child;
    #isEnding = false;

    constructor(opts) {
        this.#opts = opts;
        this.name = opts.name;
        this.host = opts.host;
        mkdirSync(path.join(opts.folder, "data"), { recursive: true });
    }

    get log() {
        return path.join(this.#opts.folder, "output.log");
    }

    /** Returns the lines of the process's log so far, shape [lines]. */
    logLines() {
        return readFileSync(this.log, "utf8").split("\n");
    }

    start() {
        const { folder, program } = this.#opts;
        const settings = path.join(folder, "boot.toml");
        writeFileSync(settings, settingsOf(this.#opts, this.exits === 0 && this.#child === undefined));
        const memory = program === "gateway" ? 160 : 200;
        const child = spawn(process.execPath, [`--max-old-space-size=${memory}`, "target/launch.cjs", program], {
            cwd: root,
            env: { PATH: process.env.PATH, HOME: process.env.HOME ?? "/", KNAPWEEDWOOD_BOOT: settings },
            stdio: ["ignore", "pipe", "pipe"],
        });
        const output = createWriteStream(this.log, { flags: "a" });
        child.stdout.pipe(output, { end: false });
        child.stderr.pipe(output, { end: false });
        this.#child = child;
        this.#isEnding = false;
        child.on("exit", (code, signal) => {
            if (this.#child === child && !this.#isEnding) {
                this.exits += 1;
                this.#opts.record(`${this.name} ended by itself: code ${code}, signal ${signal}`);
                this.start();
            }
        });
    }

    signal(name) {
        this.#child?.kill(name);
    }

    /** Kills the process without waiting for its end. */
    killNow() {
        this.#isEnding = true;
        this.#child?.kill("SIGKILL");
    }

    /** Kills the process and resolves once it is gone. */
    async kill() {
        const child = this.#child;
        if (child === undefined || child.exitCode !== null || child.signalCode !== null) {
            return;
        }
        this.#isEnding = true;
        const exited = new Promise(resolve => child.once("exit", resolve));
        child.kill("SIGKILL");
        await exited;
    }

    /** Sends SIGTERM and resolves once the process is gone, with SIGKILL after `graceS`. */
    async stop() {
        const child = this.#child;
        this.#isEnding = true;
        const exited = new Promise(resolve => child.once("exit", resolve));
        const timer = setTimeout(() => child.kill("SIGKILL"), BOUNDS.graceS * 1000);
        child.kill("SIGTERM");
        await exited;
        clearTimeout(timer);
    }

    /** Empties the data folder. The process must not run. */
    loseDisk() {
        const data = path.join(this.#opts.folder, "data");
        rmSync(data, { recursive: true, force: true });
        mkdirSync(data);
    }

    async readiness() {
        const { status } = await call({ front: { host: this.host, port: READY_PORT }, path: "/api/ready" });
        return status;
    }

    get front() {
        return { host: this.host, port: FRONT_PORT };
    }
}

function settingsOf({ name, program, host, zone, seeds, storeAddress, folder }, bootstrap) {
    const isGateway = program === "gateway";
    return [
        `nodeName = "${name}"`,
        `role = "${program}"`,
        `machineClass = "${isGateway ? "front" : "storage"}"`,
        `serves = [${isGateway ? '"front"' : '"storage", "control"'}]`,
        `ip = "${host}"`,
        `zone = "${zone}"`,
        'region = "r"',
        `portRange = [${PORT_RANGE.join(", ")}]`,
        `seeds = [${seeds.map(seed => `"${seed}"`).join(", ")}]`,
        `bootstrap = ${bootstrap}`,
        "inTolerance = true",
        'discovery = "platform"',
        'entry = "virtual_ip"',
        "heartbeatMs = 1200",
        ...isGateway ? [] : [`dataDir = "${path.join(folder, "data")}"`],
        "[zones]",
        ...ZONES.map(one => `${one} = "r"`),
        "[listen]",
        ...isGateway
            ? [`front = "${host}:${FRONT_PORT}"`, `ready = "${host}:${READY_PORT}"`]
            : [`control = "${host}:${CONTROL_PORT}"`],
        "[limits]",
        "cpuShare = 1.0",
        "cores = 1",
        "memoryMb = 380",
        "maxFds = 4100",
        "linkMbps = 1000.0",
        `diskMb = ${isGateway ? 0 : 450}`,
        "[faultTolerance]",
        "machines = 1",
        "zones = 0",
        "regions = 0",
        "[bounds]",
        ...Object.entries(BOUNDS).map(([key, value]) => `${key} = ${value}`),
        "[platform]",
        `address = "${storeAddress}"`,
        'form = "kv"',
        "writesPerS = 400",
        "readsPerS = 2000",
        "historyS = 20",
        "valueBytes = 1048576",
        "ttlMinMs = 1000",
        "",
    ].join("\n");
}

/** Returns the second byte of loopback addresses on which nothing listens yet. */
async function findFreeSubnet() {
    for (let attempt = 0; attempt < 50; attempt += 1) {
        const subnet = 20 + Math.floor(Math.random() * 200);
        const hosts = [`127.${subnet}.1.1`, `127.${subnet}.2.1`];
        const isFree = await Promise.all(
            hosts.flatMap(host => [FRONT_PORT, PORT_RANGE[0] + 1].map(p => canBind(host, p))),
        );
        if (isFree.every(one => one)) {
            return subnet;
        }
    }
    throw new Error("No free loopback addresses");
}

function canBind(host, port) {
    return new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, host, () => server.close(() => resolve(true)));
    });
}

/**
 * Runs a case: exits with 1 if `run` resolves to true (the rule was broken), 0 if it held, 2 if the case couldn't run.
 */
export async function runCase(recordFile, run) {
    const deployment = new Deployment(recordFile);
    let exitCode = 2;
    const giveUp = reason => {
        deployment.record(`RESULT: the case could not run: ${reason}`);
        process.exit(2);
    };
    process.once("exit", () => deployment.killNow());
    ["SIGINT", "SIGTERM"].forEach(name => process.once(name, () => giveUp(name)));
    setTimeout(() => giveUp("time is up"), MAX_CASE_MS).unref();
    try {
        const isBroken = await run(deployment, process.env.TROUBLE !== "0");
        exitCode = isBroken ? 1 : 0;
        deployment.record(isBroken ? "RESULT: the rule was broken" : "RESULT: the rule held");
    }
    catch (error) {
        deployment.record(`RESULT: the case could not run: ${error.stack}`);
    }
    await deployment.close();
    process.exit(exitCode);
}
