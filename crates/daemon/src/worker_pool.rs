//! Fixed-size thread pools for blocking calls.

use std::thread;

/// Stack size of a worker thread. A worker makes one HTTP call at a time, whose body is
/// on the heap.
const WORKER_STACK_BYTES: usize = 256 * 1024;

/// Blocking call that a worker thread executes once.
pub type WorkerJob = Box<dyn FnOnce() + Send>;

/// Fixed number of threads that execute jobs from one unbounded queue.
#[derive(Clone)]
pub struct WorkerPool {
    jobs: flume::Sender<WorkerJob>,
}

impl WorkerPool {
    /// Starts `threads` worker threads, all named `name`.
    ///
    /// # Errors
    ///
    /// Fails when a thread cannot be started.
    pub fn start(name: &str, threads: usize) -> std::io::Result<Self> {
        let (jobs, queue) = flume::unbounded::<WorkerJob>();
        for _ in 0..threads {
            let queue = queue.clone();
            thread::Builder::new()
                .name(name.to_owned())
                .stack_size(WORKER_STACK_BYTES)
                .spawn(move || {
                    for job in queue {
                        job();
                    }
                })?;
        }
        Ok(Self { jobs })
    }

    /// Queues a job. It is dropped if all workers have ended.
    pub fn submit(&self, job: impl FnOnce() + Send + 'static) {
        let _ = self.jobs.send(Box::new(job));
    }

    /// Number of queued jobs that no worker has started.
    pub fn queued(&self) -> usize {
        self.jobs.len()
    }
}
