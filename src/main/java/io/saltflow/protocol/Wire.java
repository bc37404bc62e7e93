package io.saltflow.protocol;

/** Names used by the wire protocol. No other class refers to them by literal. */
public final class Wire {

  /** Reserved prefix of the job classes of service jobs. */
  public static final String SERVICE_CLASS = "service/";

  public static final String PATH_JOBS = "/submissions";
  public static final String CANCEL_SUFFIX = "/withdraw";
  public static final String PATH_SERVICES = "/services";
  public static final String PATH_HEALTH = "/healthz";
  public static final String PATH_HEARTBEAT = "/checkin";
  public static final String PATH_TYPES = "/flavors";
  public static final String PATH_MACHINES = "/rentals";
  public static final String PATH_DELETE_MACHINES = "/rentals/delete";
  public static final String PATH_KV = "/kv";
  public static final String PATH_TRANSACTION = "/multi";
  public static final String PATH_LEASES = "/leases";
  public static final String RENEW_SUFFIX = "/extend";
  public static final String PATH_WATCH = "/changes";

  public static final String ID = "id";
  public static final String JOB_CLASS = "lane";
  public static final String TEAM = "crew";
  public static final String SHAPE = "shape";
  public static final String SHAPE_ARRAY = "array";
  public static final String SHAPE_SERVICE = "daemon";
  public static final String PRIORITY = "urgency";
  public static final String PRIORITY_CRITICAL = "critical";
  public static final String PRIORITY_HIGH = "high";
  public static final String PRIORITY_NORMAL = "normal";
  public static final String PRIORITY_LOW = "best_effort";
  public static final String TASKS = "shards";
  public static final String CORES = "cores";
  public static final String GPUS = "gpus";
  public static final String MEMORY_GB = "ramGb";
  public static final String IMAGE = "bundle";
  public static final String IMAGE_GB = "sizeGb";
  public static final String MACHINE_TYPES = "rigs";
  public static final String MACHINE_TYPE = "rig";
  public static final String ZONE = "yard";
  public static final String ZONES = "yards";
  public static final String ONE_ZONE = "together";
  public static final String SPREAD = "apart";
  public static final String SPOT = "loaners";
  public static final String ESTIMATE_S = "expectS";
  public static final String CHECKPOINT_INTERVAL_S = "snapshotS";
  public static final String CHECKPOINT_WRITE_S = "flushS";
  public static final String DEADLINE_S = "dueS";

  /** Jobs that must be done before any task of this job starts. */
  public static final String DEPENDENCIES = "awaits";

  public static final String STATE = "phase";
  public static final String STATE_PENDING = "pending";
  public static final String STATE_RUNNING = "running";
  public static final String STATE_DONE = "done";
  public static final String STATE_CANCELLED = "cancelled";
  public static final String DONE = "done";
  public static final String RUNNING = "running";
  public static final String ERROR = "error";

  public static final String MACHINE = "host";
  public static final String MACHINES = "hosts";
  public static final String ADDRESS = "addr";
  public static final String AGENT_EPOCH = "shift";
  public static final String SEQUENCE = "tick";
  public static final String FENCING_TOKEN = "baton";
  public static final String PREEMPTION_NOTICE_S = "warningS";
  public static final String TASK = "shard";
  public static final String ATTEMPT = "try";
  public static final String CAUSE = "cause";
  public static final String CHECKPOINT_SAVED = "stored";
  public static final String TASK_FETCHING = "fetching";
  public static final String TASK_RUNNING = "running";
  public static final String TASK_SAVING = "saving";
  public static final String TASK_EXITED = "exited";
  public static final String CAUSE_DONE = "done";
  public static final String CAUSE_STOPPED = "stopped";
  public static final String CAUSE_ERROR = "error";
  public static final String CAUSE_NO_ROOM = "no_room";
  public static final String CAUSE_BUSY = "in_use";
  public static final String CAUSE_UNKNOWN = "no_such";
  public static final String COMMANDS = "orders";
  public static final String VERB = "verb";
  public static final String VERB_LAUNCH = "launch";
  public static final String VERB_STOP = "halt";
  public static final String VERB_CLEAR = "clear";
  public static final String GRACE_S = "windDownS";
  public static final String LEADER = "foreman";

  public static final String TYPE_NAME = "sku";
  public static final String FETCH_GB_PER_S = "fetchGbPerS";
  public static final String PRICE = "hourly";
  public static final String SPOT_PRICE = "spotPrice";
  public static final String BOOT_S = "readyS";
  public static final String SCALE_OUT_ID = "hire";
  public static final String COUNT = "howMany";
  public static final String AFTER = "after";
  public static final String PAGE = "page";
  public static final String AGE_S = "ageS";
  public static final String TRUNCATED = "truncated";
  public static final String MACHINE_BOOTING = "starting";
  public static final String MACHINE_FAILED = "failed";

  public static final String KEY = "path";
  public static final String VALUE = "data";
  public static final String VERSION = "stamp";
  public static final String REVISION = "epoch";
  public static final String LEASE = "tenancy";
  public static final String PREFIX = "prefix";
  public static final String ITEMS = "pairs";
  public static final String GUARDS = "guards";
  public static final String WRITES = "writes";
  public static final String PUT = "put";
  public static final String DELETE = "delete";
  public static final String TTL_MS = "ttlMs";
  public static final String WATCH_TIMEOUT_MS = "holdMs";
  public static final String EVENTS = "news";
  public static final String FAILED = "failed";
  public static final String NO_SUCH_LEASE = "no such lease";
  public static final String NO_CAPACITY = "no capacity";
  public static final String MACHINE_RUNNING = "running";

  private Wire() {}
}
