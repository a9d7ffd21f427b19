//! Tests of the simulator's protocol: input lines and the exact reply to them.

use super::serve;
use expect_test::expect;

const BEGIN: &str = "begin\t3\t7\tzone=1\tservices.count=1\tservices.0.effect=safe\tservices.0.aim_s=0.4\t\
    services.0.deadline_s=2\tservices.0.value=1\trules.cold_share=0.3\trules.cold_s=17\t\
    rules.fall_multiple=4\trules.overload_for_s=1\tlimits.max_attempts=6\tbalancers=1\t\
    family_info.second_tier_kind=2\tfamily_info.root_kind=3\tnew.key=7";
const LIST: &str = "backends_changed\t3\t2\t41\t2\nm\t10.0.0.1:80\t1\t0\t0\t1\t5\t-\n\
    m\t10.0.0.9:80\t0\t2\t0\t1\t20\t-";

/// The replies to these lines, with `BEGIN` and `LIST` expanded; an error follows on a last line after `!`.
fn replies(lines: &str) -> String {
    let input = lines.replace("BEGIN", BEGIN).replace("LIST", LIST);
    let mut output = Vec::new();
    let result = serve(input.as_bytes(), &mut output);
    let error = result.err().map_or(String::new(), |error| format!("! {error}\n"));
    String::from_utf8_lossy(&output).into_owned() + &error
}

#[test]
fn a_request_is_looked_up_filled_and_released() {
    let lines = "tick\t8.41225\nend\ntick\t8.5\nBEGIN\nLIST\n\
        request\t3\t77\t0\ta:k\t9.5\t1\t640\t3\t11\t0\nend\n\
        tick\t8.6\nreport_back\t3\t77\tNOT_FOUND\t0.001\t0\t0\t10.0.0.1:80\t-\t-\t-\nend\n\
        tick\t8.8\nreport_back\t3\t77\tOK\t0.1\t1\t1\t10.0.0.1:80\t0.01\t2\tx1:1.5,new:2\n\
        report_back\t3\t77\tOK\t0.1\t1\t1\t10.0.0.1:80\t0.01\t2\t-\nclient_gone\t3\t77\nend\n";
    expect![[r#"
        eor
        pull_via	3	77	-	0	10.0.0.1:80	10.0.0.1:80	0	-
        arm	3	0.900000	1
        eor
        pull_via	3	77	-	0	10.0.0.9:80	10.0.0.1:80	0	-
        arm	3	0.900000	2
        eor
        eor
    "#]]
    .assert_eq(&replies(lines));
}

#[test]
fn a_dispatcher_may_stop_and_start_in_one_batch() {
    let lines = "tick\t1\nBEGIN\nLIST\ndestroy\t3\nBEGIN\nclient_gone\t3\t5\nend\n";
    expect![[r#"
        eor
    "#]]
    .assert_eq(&replies(lines));
}

#[test]
fn errors_name_the_malformed_line() {
    let lines = [
        "tick\t1\nBEGIN\nrequest\t3\t77\t0\nend\n",
        "tick\t1\nBEGIN\nclient_gone\t3\tx\nend\n",
        "tick\t1\nelapsed\t4\t1\nend\n",
        "tick\t1\nbegin\t3\t7\tzone=1\nend\n",
        "tick\t1\nBEGIN\nhello\t3\nend\n",
        "end\n",
        "tick\t1\n",
    ];
    expect![[r#"
        ! line 3: request: expected 10 values, found 3
        ! line 3: client_gone: id: expected a number, found 'x'
        ! line 2: elapsed: no dispatcher 4
        ! line 2: options: services.count is missing
        ! line 3: unknown message 'hello'
        ! line 1: expected 'tick', found 'end'
        ! line 1: the input ended inside a batch
    "#]]
    .assert_eq(&lines.map(replies).concat());
}
